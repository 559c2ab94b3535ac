// How many requests the target on this host may get now: few while it is cold, and more as it warms.
//
// A target that has just started crashes if it gets a warm target's load. It says by heartbeats how long it stays cold,
// and is taken for cold whenever it may have started anew since the last one. One that says that it is warm gets
// whatever its slots take, unless the options limit it too; what it got in the last second still counts once it turns
// cold. All requests to a target pass through the daemon on its host, so that no other daemon takes part. A permit is
// held from the grant of a slot until the request's first byte goes out, and counts from then on for a second.
//
// Load patterns: half of a service's targets come back cold at once; a release that replaces targets one by one; one
// cold target that gets a whole service's requests because all others are away.
//
//   WarmUp warmUp(now);
//   warmUp.setBound({ .requestsPerSecond = 15, .overage = 1.5, .slack = 8, .coldTime = 3s });
//   warmUp.onHeartbeat(2s, now);
//   if (warmUp.tryAcquire(now)) ... // later recordSent(now) or giveBack()
#pragma once

#include "base/Clock.h"
#include "dispatch/TargetArrivals.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace coriandergate::dispatch {

// WarmUp is used by one thread.
class WarmUp {
public:
    struct Options {
        // The bound counts what is sent and arrives within one second; the rest covers a stall between the reading of
        // the clock and the sending.
        std::chrono::milliseconds window { 1020 };
        std::size_t margin = 1; // requests below the bound, for the same reason
        // Whether the bound of a cold target holds for a warm one too, since it may turn cold without a word.
        bool limitsWarmTarget = false;
    };

    // Bound is what the configuration and the deployment say of a service's cold targets.
    struct Bound {
        double requestsPerSecond = 0; // that a cold target tolerates; 0: nothing is metered
        double overage = 1; // factor by which a second may exceed it
        double slack = 0; // requests by which a second may exceed it in addition
        std::chrono::milliseconds coldTime { 0 }; // for which a target that has started stays cold

        friend auto operator==(const Bound&, const Bound&) -> bool = default;
    };

    // An earlier process may have sent requests until `now`, so that nothing is sent for the first window.
    explicit WarmUp(MonotonicTime now)
        : WarmUp(now, Options {})
    {
    }
    WarmUp(MonotonicTime now, const Options& options);

    // setBound() puts a bound in force. Until the first call the bound is unknown, and nothing may be sent.
    auto setBound(const Bound& bound) -> void;
    // bound() is the bound in force; nothing while it is unknown.
    [[nodiscard]] auto bound() const -> const std::optional<Bound>& { return m_bound; }

    // assumeCold() takes the target for cold until it says otherwise, or for the bound's time: it is a new incarnation,
    // or refused connections, so that it may have started anew.
    auto assumeCold(MonotonicTime now) -> void;

    // onHeartbeat() records for how long the target says that it stays cold; 0 for a warm one.
    auto onHeartbeat(std::chrono::milliseconds coldRemaining, MonotonicTime now) -> void;

    // isCold() says that the target is cold or must be taken for cold; false without a bound.
    [[nodiscard]] auto isCold(MonotonicTime now) const -> bool;

    // limit() is the number of requests that the target may get in a window now; nothing if it is
    // not limited.
    [[nodiscard]] auto limit(MonotonicTime now) const -> std::optional<std::size_t>;

    // tryAcquire() acquires the permit to send one request; false if the limit is reached. Each permit ends by
    // recordSent() or giveBack().
    [[nodiscard]] auto tryAcquire(MonotonicTime now) -> bool;
    auto giveBack() -> void;

    // maySend() says that a request with a permit may go out now. The target may have turned cold since the permit was
    // acquired; what a second may bear at most decides here, since another try elsewhere costs more than a request
    // more.
    [[nodiscard]] auto maySend(MonotonicTime now) const -> bool;
    auto recordSent(MonotonicTime now) -> void;

    // waitFor() is the time until tryAcquire() will succeed for a request with `ahead` others before it, if every
    // permit is used at once; an hour while the bound is unknown.
    [[nodiscard]] auto waitFor(std::size_t ahead, MonotonicTime now) const -> std::chrono::milliseconds;

    // arrivals() is what entries are told of a limited target; nothing of any other.
    [[nodiscard]] auto arrivals(MonotonicTime now) const -> std::optional<TargetArrivals>;

private:
    [[nodiscard]] auto isMetered() const -> bool { return m_bound && m_bound->requestsPerSecond > 0; }
    [[nodiscard]] auto isLimited(MonotonicTime now) const -> bool
    {
        return isCold(now) || (m_options.limitsWarmTarget && isMetered());
    }
    [[nodiscard]] auto highestLimit() const -> std::size_t;
    [[nodiscard]] auto sentInWindow(MonotonicTime now) const -> std::size_t;

    Options m_options;
    std::optional<Bound> m_bound;
    MonotonicTime m_firstSendAt;
    std::optional<MonotonicTime> m_assumedColdSince; // nothing once the target has told its state
    MonotonicTime m_coldUntil; // as the target told
    std::size_t m_permits = 0;
    std::deque<MonotonicTime> m_sentAt;
};

} // namespace coriandergate::dispatch
