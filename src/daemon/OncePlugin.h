// Gives the proxy its OnceGate.
#pragma once

#include "base/Clock.h"
#include "kernel/Plugin.h"

#include <memory>

class QTimer;

namespace coriandergate::daemon {

class LedgerOnceGate;
class OnceMetrics;

class OncePlugin : public kernel::Plugin {
public:
    OncePlugin();
    ~OncePlugin() override;

    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override;

private:
    std::shared_ptr<LedgerOnceGate> m_gate;
    std::unique_ptr<OnceMetrics> m_metrics;
    std::unique_ptr<QTimer> m_timer;
};

} // namespace coriandergate::daemon
