// Serves GET /healthz and GET /metrics on the admin listener.
#pragma once

#include "kernel/Plugin.h"

namespace coriandergate::daemon {

class PagesPlugin : public kernel::Plugin {
public:
    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override { }
};

} // namespace coriandergate::daemon
