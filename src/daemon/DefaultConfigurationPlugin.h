// Gives a daemon that was given no store a small configuration of its own, for a first try on one machine.
#pragma once

#include "kernel/Plugin.h"

namespace coriandergate::daemon {

class DefaultConfigurationPlugin : public kernel::Plugin {
public:
    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override { }
};

} // namespace coriandergate::daemon
