// Takes the configuration from a declaration file, or from a small built-in one, for a daemon without a store: a first
// try on one machine.
#pragma once

#include "kernel/Plugin.h"

namespace coriandergate::daemon {

class DeclarationPlugin : public kernel::Plugin {
public:
    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override { }
};

} // namespace coriandergate::daemon
