// Takes the announcements of the targets on this host: POST /announce and POST /leave on the admin listener.
#pragma once

#include "kernel/Plugin.h"

namespace coriandergate::daemon {

class AnnouncePlugin : public kernel::Plugin {
public:
    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override { }
};

} // namespace coriandergate::daemon
