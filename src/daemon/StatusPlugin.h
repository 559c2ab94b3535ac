// Provides the status page, to callers on their listener and to operators on the admin listener.
#pragma once

#include "kernel/Plugin.h"

namespace coriandergate::daemon {

class StatusPlugin : public kernel::Plugin {
public:
    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override { }
};

} // namespace coriandergate::daemon
