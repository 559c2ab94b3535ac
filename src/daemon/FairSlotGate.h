// The proxy's SlotGate on admission::SlotTable: each target's slots, and a fair queue for each target.
//
//   FairSlotGate gate({});
//   auto ticket = gate.submit(request, now, [](proxy::SlotDecision decision) { ... });
//   gate.release(ticket, serviceTime, now);
//   gate.wake(isServing, now); // a few times a second
#pragma once

#include "admission/SlotTable.h"
#include "base/Mutex.h"
#include "proxy/SlotGate.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace coriandergate::daemon {

// FairSlotGate is safe from any thread. Callbacks are called without a lock held.
class FairSlotGate : public proxy::SlotGate {
public:
    using Target = std::pair<std::string, std::string>; // service, IP:port

    // Counts is what happened since the start.
    struct Counts {
        std::map<admission::RefusalReason, std::uint64_t> refused;
        std::uint64_t granted = 0;
        std::uint64_t waited = 0; // of the granted
    };

    // Load is the present load of all targets together.
    struct Load {
        std::size_t slots = 0;
        std::size_t running = 0;
        std::size_t waiting = 0;
    };

    explicit FairSlotGate(admission::SlotTable::Options options);

    auto submit(const proxy::SlotRequest& request, MonotonicTime now, std::function<void(proxy::SlotDecision)> decided)
        -> Ticket override;
    auto cancel(Ticket ticket, MonotonicTime now) -> bool override;
    auto release(Ticket ticket, MonotonicDuration serviceTime, MonotonicTime now) -> void override;
    [[nodiscard]] auto load(const std::string& service, const std::string& target) const -> proxy::SlotLoad override;

    // wake() closes the targets for which `isServing` is false, refuses what can't be served in time any more and lets
    // run what can.
    auto wake(const std::function<bool(const Target&)>& isServing, MonotonicTime now) -> void;

    [[nodiscard]] auto counts() const -> Counts;
    [[nodiscard]] auto totalLoad() const -> Load;

private:
    using Decided = std::function<void(proxy::SlotDecision)>;

    auto openTarget(const proxy::SlotRequest& request) -> void;
    auto park(std::uint64_t ticket, const std::string& target, Decided decided) -> void;
    auto dispatch(const std::vector<admission::DequeueDecision>& dispatches) -> void;
    auto count(const admission::DequeueDecision& dispatch, bool hasWaited) -> void;
    [[nodiscard]] auto toDecision(const admission::DequeueDecision& dispatch, const std::string& target) const
        -> proxy::SlotDecision;

    struct Parked {
        Decided decided;
        std::string target;
    };

    admission::SlotTable m_table;
    mutable Mutex m_mutex;
    std::map<Target, std::uint32_t> m_targets GUARDED_BY(m_mutex);
    std::unordered_map<std::uint64_t, Parked> m_parked GUARDED_BY(m_mutex);
    std::unordered_map<std::uint64_t, admission::DequeueDecision> m_early GUARDED_BY(m_mutex);
    Counts m_counts GUARDED_BY(m_mutex);
};

} // namespace coriandergate::daemon
