// Wires the gate against poison requests into the daemon. The daemon judges the requests that enter at it.
#pragma once

#include "kernel/Plugin.h"

#include <memory>

class QTimer;

namespace coriandergate::daemon {

class JudgePoisonGate;

class PoisonPlugin : public kernel::Plugin {
public:
    PoisonPlugin();
    ~PoisonPlugin() override;

    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override;

private:
    std::shared_ptr<JudgePoisonGate> m_gate;
    std::unique_ptr<QTimer> m_timer;
};

} // namespace coriandergate::daemon
