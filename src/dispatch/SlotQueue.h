// Admission queue for the concurrency slots of the target on this host.
//
// A request is queued only if it can still be served in time: the wait expected from the requests ahead of it must end
// by its start deadline. Otherwise it is refused at once, so that the entry daemon can try another target. Requests are
// served by priority, and within a priority by earliest deadline. A low-priority request that later high-priority
// ones delay past its deadline is removed, which makes room for them.
//
// Load patterns: all callers send at once; targets slowed down several times; low-priority requests crowding out
// high-priority ones; long tails that outlive the caller.
//
//   SlotQueue queue({ .slots = 5 });
//   switch (queue.reserve({ .ticket = 7, ... }, now)) { case Granted: ... case Queued: ... case Refused: ... }
//   queue.release(serviceTime);
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
    // Ticket identifies a request.
    using Ticket = std::uint64_t;

    struct Options {
        std::size_t slots = 1;
        std::size_t maximumQueueLength = 64; // keeps refusals cheap
        std::chrono::milliseconds initialServiceTime { 300 }; // mean service time until the first request ends
    };

    struct Request {
        Ticket ticket = 0;
        int priority = 0; // 0 is the highest
        MonotonicTime startDeadline; // starting later would complete the request too late
    };

    enum class Decision {
        Granted,
        Queued,
        Refused,
    };

    explicit SlotQueue(const Options& options);

    // setSlots() sets the number of slots that the target announces.
    auto setSlots(std::size_t slots) -> void;

    // reserve() grants a free slot to the request, queues it, or refuses it when it can't start in time. It starts
    // after `minimumWait` at the earliest, for a reason other than the slots.
    [[nodiscard]] auto reserve(const Request& request, MonotonicTime now,
        std::chrono::milliseconds minimumWait = std::chrono::milliseconds { 0 }) -> Decision;

    // release() frees a slot; `serviceTime` is how long the target took, nothing if the request wasn't completed.
    auto release(std::optional<std::chrono::milliseconds> serviceTime) -> void;

    // cancel() removes a queued request; false if it isn't in the queue.
    auto cancel(Ticket ticket) -> bool;

    // grantNext() grants a free slot to the first request in the queue; nothing if no slot is free or none is queued.
    [[nodiscard]] auto grantNext(MonotonicTime now) -> std::optional<Ticket>;

    // removeExpired() removes the requests whose start deadline has passed and returns them; the caller refuses them.
    [[nodiscard]] auto removeExpired(MonotonicTime now) -> std::vector<Ticket>;

    // limitConcurrency() limits the slots to the number in use now, until `until`; used when a full target rejects a
    // request, which shows that it has less capacity than it announced.
    auto limitConcurrency(MonotonicTime until) -> void;

    // queuedBefore() is the number of queued requests that a new one of `priority` would wait for.
    [[nodiscard]] auto queuedBefore(int priority) const -> std::size_t;

    // expectedWait() estimates how long a request of `priority` would wait for a slot.
    [[nodiscard]] auto expectedWait(int priority) const -> std::chrono::milliseconds;

    [[nodiscard]] auto load() const -> TargetLoad { return { m_running, m_queue.size(), m_options.slots }; }
    [[nodiscard]] auto meanServiceTime() const -> std::chrono::milliseconds;

private:
    [[nodiscard]] auto hasFreeSlot(MonotonicTime now) const -> bool;

    Options m_options;
    std::size_t m_running = 0;
    std::size_t m_limitedSlots = 0;
    MonotonicTime m_limitedUntil;
    std::vector<Request> m_queue; // in the order in which they are granted
    double m_meanServiceMs;
};

} // namespace coriandergate::dispatch
