// Admission queue for the concurrency slots of the target on this host.
//
// A request is queued only if it can still be served in time: the wait expected from the requests ahead of it must end
// by its start deadline. Otherwise it is refused at once, so that the entry daemon can try another target. Requests are
// served by priority, and within a priority fairly between client accounts; those of one account by earliest deadline.
// Requests without a client account are calls of requests that targets already execute, and go before the others of
// their priority. A low-priority request that later high-priority ones delay past its deadline is removed, which makes
// room for them.
//
// Load patterns: all callers send at once; targets slowed down several times; low-priority requests crowding out
// high-priority ones; one account crowding out others; long tails that outlive the caller.
//
//   SlotQueue queue({ .slots = 5 });
//   switch (queue.reserve({ .ticket = 7, ... }, now)) { case Granted: ... case Queued: ... case Refused: ... }
//   for (auto ticket : queue.takeEvicted()) ...
//   queue.release(serviceTime, 7);
//   while (auto ticket = queue.grantNext(now)) ...
#pragma once

#include "base/Clock.h"
#include "dispatch/FairQueue.h"
#include "dispatch/TargetLoad.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
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
        std::string clientAccount; // empty: none
        double accountWeight = 1; // above 0; accounts that compete get slots in proportion to it
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
    // after `minimumWait` at the earliest, for a reason other than the slots. A queued request may evict another, see
    // takeEvicted().
    [[nodiscard]] auto reserve(const Request& request, MonotonicTime now,
        std::chrono::milliseconds minimumWait = std::chrono::milliseconds { 0 }) -> Decision;

    // takeEvicted() returns the requests that were removed since the last call because their account has the most
    // requests in the queue and another account's request goes first; the caller refuses them.
    [[nodiscard]] auto takeEvicted() -> std::vector<Ticket> { return std::exchange(m_evicted, {}); }

    // release() frees a slot; `serviceTime` is how long the target took, nothing if the request wasn't completed.
    // `ticket` is the request that held the slot, whose account is charged the time that it took.
    auto release(std::optional<std::chrono::milliseconds> serviceTime, std::optional<Ticket> ticket = std::nullopt)
        -> void;

    // cancel() removes a queued request; false if it isn't in the queue.
    auto cancel(Ticket ticket) -> bool;

    // grantNext() grants a free slot to the first request in the queue; nothing if no slot is free or none is queued.
    [[nodiscard]] auto grantNext(MonotonicTime now) -> std::optional<Ticket>;

    // removeExpired() removes the requests whose start deadline has passed and returns them; the caller refuses them.
    [[nodiscard]] auto removeExpired(MonotonicTime now) -> std::vector<Ticket>;

    // limitConcurrency() limits the slots to the number in use now, until `until`; used when a full target rejects a
    // request, which shows that it has less capacity than it announced.
    auto limitConcurrency(MonotonicTime until) -> void;

    // queuedBefore() is the number of queued requests of `priority` and higher ones.
    [[nodiscard]] auto queuedBefore(int priority) const -> std::size_t;

    // requestsAhead() estimates how many queued requests are served before a new `request`.
    [[nodiscard]] auto requestsAhead(const Request& request) const -> std::size_t;

    // expectedWait() estimates how long a new `request` would wait for a slot.
    [[nodiscard]] auto expectedWait(const Request& request) const -> std::chrono::milliseconds;

    [[nodiscard]] auto load() const -> TargetLoad { return { m_running, m_waiting, m_options.slots }; }
    [[nodiscard]] auto meanServiceTime() const -> std::chrono::milliseconds;

    // waitingAccounts() is the number of client accounts with queued requests, counted once for each priority.
    [[nodiscard]] auto waitingAccounts() const -> std::size_t;

private:
    // Class holds the requests that compete by the fair order.
    struct Class {
        int priority = 0;
        bool hasClientAccount = false;

        friend auto operator<(const Class& left, const Class& right) -> bool
        {
            return std::tie(left.priority, left.hasClientAccount) < std::tie(right.priority, right.hasClientAccount);
        }
    };

    // Charge is what a running request's account was charged when it was granted.
    struct Charge {
        Class requestClass;
        std::string clientAccount;
        MonotonicDuration serviceTime;
    };

    [[nodiscard]] static auto classOf(const Request& request) -> Class;
    [[nodiscard]] auto hasFreeSlot(MonotonicTime now) const -> bool;
    [[nodiscard]] auto waitBehind(std::size_t requestsAhead) const -> std::chrono::milliseconds;
    [[nodiscard]] auto requestsBefore(const Class& requestClass) const -> std::size_t;
    [[nodiscard]] auto meanCharge() const -> MonotonicDuration;
    auto makeRoom(const Request& request) -> bool;
    auto evictOvertaken(const Request& request, MonotonicTime now) -> void;
    auto enqueue(const Request& request) -> void;
    auto eraseIfEmpty(const Class& requestClass) -> void;

    Options m_options;
    std::size_t m_running = 0;
    std::size_t m_waiting = 0; // in all of m_queues
    std::size_t m_limitedSlots = 0;
    MonotonicTime m_limitedUntil;
    std::map<Class, FairQueue> m_queues; // none is empty
    std::vector<Ticket> m_evicted;
    std::unordered_map<Ticket, Charge> m_charges; // of running requests that have a client account and had waited
    double m_meanServiceMs;
};

} // namespace coriandergate::dispatch
