// The metrics of once-only requests.
#pragma once

#include <memory>

namespace prometheus {
class Registry;
}

namespace coriandergate::daemon {

class LedgerOnceGate;

// OnceMetrics belongs to the main thread.
class OnceMetrics {
public:
    explicit OnceMetrics(prometheus::Registry& registry);
    ~OnceMetrics();

    // update() brings the metrics up to what the gate counts.
    auto update(const LedgerOnceGate& gate) -> void;

private:
    struct Families;
    std::unique_ptr<Families> m_families;
};

} // namespace coriandergate::daemon
