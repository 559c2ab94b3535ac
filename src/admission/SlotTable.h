// The slots of the targets beside this daemon, and who waits for them.
//
// Every request to a target passes through the daemon on the target's host, so the count here is exact: a target never
// has more requests than slots. Nothing here waits or calls back; each call returns what may happen now:
//
//   SlotTable table({});
//   table.setTarget("orders", "10.0.0.7:8080", 7);
//   std::vector<DequeueDecision> others;                     // requests that waited and now run or are refused
//   auto decision = table.submit({ "orders", "account-7", deadline }, now, others);
//   ...
//   table.release(ticket, now, others);               // the target answered, or the exchange failed
//
// A Admitted for a request that waited is to be checked again (key, share, caller still there); when it must not run
// any more, releaseUnused() frees the slot without counting a service time. The check is the caller's and not a
// callback, since it would run under the shard's lock.
//
// Thread safe: groups are spread over shards, each under its own lock.
#pragma once

#include "admission/FairQueue.h"
#include "admission/SlotDecision.h"
#include "admission/SlotRequest.h"
#include "base/Mutex.h"

#include <array>
#include <memory>
#include <string_view>
#include <vector>

namespace coriandergate::admission {

namespace internal {
    class SlotGroup;
}

// SlotTable decides about slots and turns; see above.
class SlotTable {
public:
    struct Options {
        FairQueue::Options queue; // of each group
        MonotonicDuration initialServiceTime = std::chrono::milliseconds(5); // expected until one was seen
    };

    // Usage is a group's present load.
    struct Usage {
        std::size_t slots = 0; // of targets that take work
        std::size_t running = 0;
        std::size_t waiting = 0;
        MonotonicDuration meanServiceTime = MonotonicDuration::zero();
        MonotonicDuration p95ServiceTime = MonotonicDuration::zero();
    };

    explicit SlotTable(Options options);
    ~SlotTable();
    SlotTable(const SlotTable&) = delete;
    auto operator=(const SlotTable&) -> SlotTable& = delete;

    // setTarget() adds a target of `group` or changes its number of slots; it takes work from now on. Call
    // processQueues() to let requests run that wait already.
    auto setTarget(std::string_view group, std::string_view target, std::size_t slots) -> void;

    // drainTarget() gives the target no further work; what runs there keeps its slots until released. When the last
    // target of a group closes, processQueues() refuses what waits.
    auto drainTarget(std::string_view group, std::string_view target) -> void;

    // submit() decides about a new request. Dispatches of other requests that this brings about (an eviction) are
    // appended to `others`.
    [[nodiscard]] auto submit(const SlotRequest& request, MonotonicTime now, std::vector<DequeueDecision>& others)
        -> SubmitDecision;

    // release() gives up the slot of a request that ran, records its service time, and appends what may run now.
    // Unknown tickets and second calls do nothing.
    auto release(Ticket ticket, MonotonicTime now, std::vector<DequeueDecision>& others) -> void;

    // releaseUnused() gives up the slot of a request that was not sent to the target after all.
    auto releaseUnused(Ticket ticket, MonotonicTime now, std::vector<DequeueDecision>& others) -> void;

    // cancel() takes a waiting request out of turn. False when it doesn't wait: it runs (its slot stays taken until
    // release(), for the target may still be busy with it) or is unknown.
    [[nodiscard]] auto cancel(Ticket ticket) -> bool;

    // processQueues() refuses what has passed its deadline while waiting and lets run what can. Call it a few times a
    // second and after a change of targets. Groups are forgotten that have no open target, and nothing that runs or
    // waits.
    auto processQueues(MonotonicTime now, std::vector<DequeueDecision>& others) -> void;

    // usage() of an unknown group is all zero.
    [[nodiscard]] auto usage(std::string_view group) const -> Usage;

private:
    static constexpr std::size_t s_shardCount = 16;
    struct Shard;

    [[nodiscard]] auto shardOf(std::string_view group) const -> Shard&;
    [[nodiscard]] auto shardOf(Ticket ticket) const -> Shard&;
    auto giveUp(Ticket ticket, bool ran, MonotonicTime now, std::vector<DequeueDecision>& others) -> void;

    Options m_options;
    std::array<std::unique_ptr<Shard>, s_shardCount> m_shards;
};

} // namespace coriandergate::admission
