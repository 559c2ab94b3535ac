// Limits the concurrent requests of the targets on this host, and queues the requests that exceed the limit.
//
// Every request to a target passes through the daemon on the target's host, so the count is exact: a target never runs
// more requests than it has slots. No function blocks or calls back; decisions about queued requests are returned by
// whichever call makes them possible:
//
//   SlotTable table({});
//   table.setTarget("orders", "10.0.0.7:8080", 7);
//   std::vector<DequeueDecision> dequeued; // queued requests that are now admitted or refused
//   auto decision = table.submit({ "orders", "account-7", deadline }, now, dequeued);
//   ...
//   table.release(ticket, now, dequeued); // after the target's response, or after the exchange failed
//
// A queued request needs another check once it is admitted (API key, rate-limit share, whether its caller is still
// connected). The code that uses the table does this check: a callback from the table would run under the shard's lock.
// When the request must not run any more, releaseUnused() frees its slot without recording a service time.
//
// Safe from any thread: groups are spread over shards, each under its own lock.
#pragma once

#include "admission/SlotDecision.h"
#include "admission/SlotRequest.h"
#include "base/Mutex.h"
#include "dispatch/FairQueue.h"

#include <array>
#include <memory>
#include <string_view>
#include <vector>

namespace coriandergate::admission {

namespace internal {
    class SlotGroup;
}

// SlotTable assigns the slots of each group's targets, with a fair queue per group.
class SlotTable {
public:
    struct Options {
        dispatch::FairQueue::Options queue; // per group
        MonotonicDuration initialServiceTime = std::chrono::milliseconds(5); // estimate until one is recorded
    };

    // Usage is the current load of a group.
    struct Usage {
        std::size_t slots = 0; // of targets that accept requests
        std::size_t running = 0;
        std::size_t waiting = 0; // queued requests
        MonotonicDuration meanServiceTime = MonotonicDuration::zero();
        MonotonicDuration p95ServiceTime = MonotonicDuration::zero();
    };

    explicit SlotTable(Options options);
    ~SlotTable();
    SlotTable(const SlotTable&) = delete;
    auto operator=(const SlotTable&) -> SlotTable& = delete;

    // setTarget() adds a target to `group`, or changes its number of slots and makes it accept requests again. Call
    // processQueues() afterwards to admit queued requests.
    auto setTarget(std::string_view group, std::string_view target, std::size_t slots) -> void;

    // drainTarget() stops new requests to the target; running requests keep their slots until released. After the last
    // target of a group is drained, processQueues() refuses the queued requests.
    auto drainTarget(std::string_view group, std::string_view target) -> void;

    // submit() decides about a new request. If that evicts a queued request, its refusal is appended to `dequeued`.
    [[nodiscard]] auto submit(const SlotRequest& request, MonotonicTime now, std::vector<DequeueDecision>& dequeued)
        -> SubmitDecision;

    // release() frees the slot of a request that ran, records its service time, and appends the queued requests that
    // are now admitted or refused. Does nothing for tickets that are unknown, queued or already released.
    auto release(Ticket ticket, MonotonicTime now, std::vector<DequeueDecision>& dequeued) -> void;

    // releaseUnused() is like release(), for a request that was not sent to its target: no service time is recorded.
    auto releaseUnused(Ticket ticket, MonotonicTime now, std::vector<DequeueDecision>& dequeued) -> void;

    // cancel() removes a queued request. It returns false when the request is unknown or already runs; a running
    // request keeps its slot until release(), since the target may still be busy with it.
    [[nodiscard]] auto cancel(Ticket ticket) -> bool;

    // processQueues() refuses queued requests that can no longer meet their deadline and admits others to free slots.
    // Call it several times a second and after each change of targets. It also removes groups that have no accepting
    // target and no running or queued request.
    auto processQueues(MonotonicTime now, std::vector<DequeueDecision>& dequeued) -> void;

    // usage() is the load of `group`; all zero when the group is unknown.
    [[nodiscard]] auto usage(std::string_view group) const -> Usage;

private:
    static constexpr std::size_t s_shardCount = 16;
    struct Shard;

    [[nodiscard]] auto shardOf(std::string_view group) const -> Shard&;
    [[nodiscard]] auto shardOf(Ticket ticket) const -> Shard&;
    auto releaseSlot(Ticket ticket, bool wasSent, MonotonicTime now, std::vector<DequeueDecision>& dequeued) -> void;

    Options m_options;
    std::array<std::unique_ptr<Shard>, s_shardCount> m_shards;
};

} // namespace coriandergate::admission
