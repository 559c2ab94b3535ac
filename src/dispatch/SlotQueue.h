// The slots of the one target beside this daemon, and the requests that wait for one.
//
// A request waits only where it can still be served in time: the wait that those before it make likely must fit into
// what it may wait. Otherwise it is refused at once, so that the entry can turn to another target. The most urgent
// priority goes first; within one, whoever's time runs out first. A more urgent request takes the place of a less
// urgent one that has no chance any more.
//
// Load patterns: everyone at once; targets slowed several times; a less urgent kind crowding out a more urgent one;
// long tails that outlive the caller.
//
//   SlotQueue queue({ .slots = 5 });
//   switch (queue.reserve({ .ticket = 7, ... }, now)) { case Granted: ... case Waits: ... case Refused: ... }
//   queue.release(serviceTime, now);
//   while (auto ticket = queue.grantNext(now)) ...
#pragma once

#include "base/Clock.h"
#include "dispatch/TargetLoad.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace coriandergate::dispatch {

// SlotQueue is used by one thread.
class SlotQueue {
public:
    using Ticket = std::uint64_t;

    struct Options {
        std::size_t slots = 1;
        std::size_t maximumWaiting = 64; // so that refusals stay cheap
        std::chrono::milliseconds assumedServiceTime { 300 }; // until the first request has ended
    };

    struct Request {
        Ticket ticket = 0;
        int priority = 0; // 0 is the most urgent
        MonotonicTime startDeadline; // it is of no use any more to begin after this
    };

    enum class Decision {
        Granted,
        Waits,
        Refused,
    };

    explicit SlotQueue(const Options& options);

    // setSlots() takes over the target's announced slots.
    auto setSlots(std::size_t slots) -> void;

    [[nodiscard]] auto reserve(const Request& request, MonotonicTime now) -> Decision;

    // release() frees a slot; `serviceTime` is how long the target took, nothing if it didn't run to its end.
    auto release(std::optional<std::chrono::milliseconds> serviceTime) -> void;

    // cancel() takes a waiting request out; false when it isn't there.
    auto cancel(Ticket ticket) -> bool;

    // grantNext() grants a free slot to the request that is due, and nothing if none is free or waits.
    [[nodiscard]] auto grantNext(MonotonicTime now) -> std::optional<Ticket>;

    // removeExpired() takes out the requests that can't begin in time any more; they are to be refused.
    [[nodiscard]] auto removeExpired(MonotonicTime now) -> std::vector<Ticket>;

    // limitConcurrency() admits only as many as run now until `until`: the target refused though a slot was free here.
    auto limitConcurrency(MonotonicTime until) -> void;

    // expectedWait() is how long a request of `priority` would wait for its slot.
    [[nodiscard]] auto expectedWait(int priority) const -> std::chrono::milliseconds;

    [[nodiscard]] auto load() const -> TargetLoad { return { m_running, m_waiting.size(), m_options.slots }; }
    [[nodiscard]] auto meanServiceTime() const -> std::chrono::milliseconds;

private:
    [[nodiscard]] auto hasFreeSlot(MonotonicTime now) const -> bool;

    Options m_options;
    std::size_t m_running = 0;
    std::size_t m_narrowedSlots = 0;
    MonotonicTime m_narrowUntil;
    std::vector<Request> m_waiting; // sorted: first in turn first
    double m_meanServiceMs;
};

} // namespace coriandergate::dispatch
