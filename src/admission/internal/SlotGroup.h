// A group of a SlotTable: its targets, its queue and its recent service times.
#pragma once

#include "admission/SlotDecision.h"
#include "admission/SlotTable.h"
#include "dispatch/FairQueue.h"
#include "dispatch/ServiceTimeHistogram.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coriandergate::admission::internal {

// SlotGroup assigns the slots of one group. Not thread-safe: guarded by the lock of its shard.
class SlotGroup {
public:
    explicit SlotGroup(const SlotTable::Options& options)
        : m_options(options)
        , m_queue(options.queue)
    {
    }

    auto setTarget(std::string_view target, std::size_t slots) -> void;
    auto drainTarget(std::string_view target) -> void;

    // submit() decides about a new request, identified by `ticket` from then on.
    auto submit(const SlotRequest& request, Ticket ticket, MonotonicTime now, std::vector<DequeueDecision>& dequeued)
        -> SubmitDecision;

    // releaseSlot() frees the slot of `ticket`. Its service time is recorded only if the request was sent to the
    // target.
    auto releaseSlot(Ticket ticket, bool wasSent, MonotonicTime now, std::vector<DequeueDecision>& dequeued) -> void;

    auto cancel(Ticket ticket) -> bool;
    [[nodiscard]] auto isRunning(Ticket ticket) const -> bool { return m_running.contains(ticket.value); }

    // isRemovable() is true when the group has no accepting target and no running or queued request.
    [[nodiscard]] auto isRemovable() const -> bool
    {
        return slotsOfAcceptingTargets() == 0 && m_running.empty() && m_queue.isEmpty();
    }

    // processQueue() refuses queued requests that would miss their deadlines and admits others to free slots.
    auto processQueue(MonotonicTime now, std::vector<DequeueDecision>& dequeued) -> void;

    [[nodiscard]] auto usage() const -> SlotTable::Usage;

private:
    struct Target {
        std::string name;
        std::size_t slots = 0;
        std::size_t running = 0;
        bool isAccepting = true;
    };
    struct RunningRequest {
        std::size_t target = 0; // index in m_targets
        std::string clientAccount;
        MonotonicTime startedAt;
        MonotonicDuration chargedServiceTime = MonotonicDuration::zero();
    };

    [[nodiscard]] auto slotsOfAcceptingTargets() const -> std::size_t;
    [[nodiscard]] auto targetWithMostFreeSlots() const -> std::size_t; // m_targets.size() when there is none
    [[nodiscard]] auto expectedServiceTime() const -> MonotonicDuration;
    [[nodiscard]] auto p95ServiceTime() const -> MonotonicDuration;
    [[nodiscard]] auto expectedWait(std::string_view clientAccount) const -> MonotonicDuration;
    auto enqueue(const SlotRequest& request, Ticket ticket, MonotonicTime now, std::vector<DequeueDecision>& dequeued)
        -> SubmitDecision;
    auto admit(Ticket ticket, std::string clientAccount, std::size_t target, MonotonicDuration chargedServiceTime,
        MonotonicTime now) -> Admitted;
    auto refuseUnmeetableDeadlines(MonotonicTime now, std::vector<DequeueDecision>& dequeued) -> void;
    auto refuseAll(std::vector<DequeueDecision>& dequeued) -> void;

    const SlotTable::Options& m_options;
    std::vector<Target> m_targets;
    dispatch::FairQueue m_queue;
    dispatch::ServiceTimeHistogram m_serviceTimes;
    std::unordered_map<std::uint64_t, RunningRequest> m_running;
};

} // namespace coriandergate::admission::internal
