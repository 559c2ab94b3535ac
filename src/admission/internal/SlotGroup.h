// One group of a SlotTable: its targets, its queue and its recent service times.
#pragma once

#include "admission/FairQueue.h"
#include "admission/ServiceTimeHistogram.h"
#include "admission/SlotDecision.h"
#include "admission/SlotTable.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coriandergate::admission::internal {

// SlotGroup is guarded by the lock of its shard.
class SlotGroup {
public:
    explicit SlotGroup(const SlotTable::Options& options)
        : m_options(options)
        , m_queue(options.queue)
    {
    }

    auto setTarget(std::string_view target, std::size_t slots) -> void;
    auto drainTarget(std::string_view target) -> void;

    // submit() decides about a new request, which is to be known as `ticket`.
    auto submit(const SlotRequest& request, Ticket ticket, MonotonicTime now, std::vector<DequeueDecision>& others)
        -> SubmitDecision;

    // giveUp() frees the slot of `ticket`; `ran` says whether the time it took is a service time.
    auto giveUp(Ticket ticket, bool ran, MonotonicTime now, std::vector<DequeueDecision>& others) -> void;

    auto cancel(Ticket ticket) -> bool;
    [[nodiscard]] auto isRunning(Ticket ticket) const -> bool { return m_running.contains(ticket.value); }

    // isClosed() is true when the group has no open target, and nothing runs or waits.
    [[nodiscard]] auto isClosed() const -> bool { return openSlots() == 0 && m_running.empty() && m_queue.isEmpty(); }

    // processQueue() refuses what can't be served in time and fills free slots.
    auto processQueue(MonotonicTime now, std::vector<DequeueDecision>& others) -> void;

    [[nodiscard]] auto usage() const -> SlotTable::Usage;

private:
    struct Target {
        std::string name;
        std::size_t slots = 0;
        std::size_t running = 0;
        bool isOpen = true;
    };
    struct Running {
        std::size_t target = 0; // index in m_targets
        std::string clientAccount;
        MonotonicTime startedAt;
        MonotonicDuration charged = MonotonicDuration::zero();
    };

    [[nodiscard]] auto openSlots() const -> std::size_t;
    [[nodiscard]] auto targetWithFreeSlot() const -> std::size_t; // m_targets.size() when there is none
    [[nodiscard]] auto expectedService() const -> MonotonicDuration;
    [[nodiscard]] auto tailService() const -> MonotonicDuration;
    [[nodiscard]] auto expectedWait(std::string_view clientAccount) const -> MonotonicDuration;
    auto enqueue(const SlotRequest& request, Ticket ticket, MonotonicTime now, std::vector<DequeueDecision>& others)
        -> SubmitDecision;
    auto start(Ticket ticket, std::string clientAccount, std::size_t target, MonotonicDuration charged,
        MonotonicTime now) -> Admitted;
    auto refuseLate(MonotonicTime now, std::vector<DequeueDecision>& others) -> void;
    auto refuseAll(std::vector<DequeueDecision>& others) -> void;

    const SlotTable::Options& m_options;
    std::vector<Target> m_targets;
    FairQueue m_queue;
    ServiceTimeHistogram m_serviceTimes;
    std::unordered_map<std::uint64_t, Running> m_running;
};

} // namespace coriandergate::admission::internal
