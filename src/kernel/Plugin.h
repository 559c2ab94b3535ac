// A part of the daemon that is started and stopped as a whole and that registers itself.
//
//   class HealthPlugin : public Plugin { ... };
//   const PluginRegistration registration { "health", 30, [] { return std::make_unique<HealthPlugin>(); } };
#pragma once

#include <string_view>

namespace coriandergate {
struct Error;
}

namespace coriandergate::kernel {

class Kernel;

class Plugin {
public:
    virtual ~Plugin() = default;

    // start() takes what it needs from the kernel and provides what others need. False with a reason keeps the daemon
    // from starting. On the main thread.
    [[nodiscard]] virtual auto start(Kernel& kernel, Error& reason) -> bool = 0;

    // stop() ends all that start() began; plug-ins stop in the reverse order. On the main thread.
    virtual auto stop() -> void = 0;
};

} // namespace coriandergate::kernel
