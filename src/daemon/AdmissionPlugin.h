// Gives the proxy its slots, its fair queues and its retry budget.
#pragma once

#include "base/Clock.h"
#include "kernel/Plugin.h"

#include <memory>

class QTimer;

namespace coriandergate::member {
class TargetRegistry;
}

namespace coriandergate::daemon {

class AdmissionMetrics;
class BudgetRetryGate;
class FairSlotGate;

class AdmissionPlugin : public kernel::Plugin {
public:
    AdmissionPlugin();
    ~AdmissionPlugin() override;

    auto start(kernel::Kernel& kernel, Error& reason) -> bool override;
    auto stop() -> void override;

private:
    auto wake(const member::TargetRegistry& targets, MonotonicTime now) -> void;

    std::shared_ptr<FairSlotGate> m_slots;
    std::shared_ptr<BudgetRetryGate> m_retries;
    std::unique_ptr<AdmissionMetrics> m_metrics;
    std::unique_ptr<QTimer> m_wake;
    bool m_hasQueue = false; // as last logged
};

} // namespace coriandergate::daemon
