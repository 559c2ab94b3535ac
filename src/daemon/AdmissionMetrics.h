// The metrics of slots, queues and retries.
#pragma once

#include <memory>

namespace prometheus {
class Registry;
}

namespace coriandergate::daemon {

class BudgetRetryGate;
class FairSlotGate;

// AdmissionMetrics belongs to the main thread.
class AdmissionMetrics {
public:
    explicit AdmissionMetrics(prometheus::Registry& registry);
    ~AdmissionMetrics();

    // update() brings the metrics up to what the gates count.
    auto update(const FairSlotGate& slots, const BudgetRetryGate& retries) -> void;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

} // namespace coriandergate::daemon
