// Bounds how stale the local copy of the store's data may be, on a clock that keeps running during suspension.
//
// The data in a response is at least as recent as the time at which its request was sent. That bound is loose for a
// long poll, whose response arrives much later. The store's clock reading in the response gives a tighter one, since
// the times of earlier requests and responses bound the offset between the local clock and the store's clock.
//
//   StalenessTracker tracker({ .maximumAge = 4500ms });
//   tracker.recordResponse(sentAt, receivedAt, storeTime);
//   if (!tracker.isFresh(now)) refuse();
//
// Load pattern: hosts that are partitioned from the store while callers with revoked keys stay connected.
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <optional>

namespace coriandergate::dispatch {

// StalenessTracker is a value; not thread-safe.
class StalenessTracker {
public:
    struct Options {
        std::chrono::milliseconds maximumAge { 4500 };
    };

    explicit StalenessTracker(const Options& options)
        : m_options(options)
    {
    }

    // recordResponse() records a complete response of the store: when its request was sent, when it was received, and
    // the store's clock reading in it.
    auto recordResponse(SuspendAwareTime sentAt, SuspendAwareTime receivedAt, std::chrono::milliseconds storeTime)
        -> void;

    // recordClock() relates the clocks by a response of the store that doesn't show the data unchanged.
    auto recordClock(SuspendAwareTime sentAt, SuspendAwareTime receivedAt, std::chrono::milliseconds storeTime) -> void;

    // recordRelayed() records a response that another host received from the store and relayed, by the store's clock
    // reading in it. It has no effect before this host's own first response, which relates the two clocks.
    auto recordRelayed(SuspendAwareTime receivedAt, std::chrono::milliseconds storeTime) -> void;

    // age() is the upper bound on the age of the data; nothing before the first response.
    [[nodiscard]] auto age(SuspendAwareTime now) const -> std::optional<std::chrono::milliseconds>;

    // isFresh() returns whether the data is no older than the maximum age.
    [[nodiscard]] auto isFresh(SuspendAwareTime now) const -> bool;

    // storeTime() is a lower bound on the store's clock at `now`; nothing before the first response.
    [[nodiscard]] auto storeTime(SuspendAwareTime now) const -> std::optional<std::chrono::milliseconds>;

    // latestStoreTime() is an upper bound. A relayed response counts as old as the difference to it.
    [[nodiscard]] auto latestStoreTime(SuspendAwareTime now) const -> std::optional<std::chrono::milliseconds>;

private:
    // ClockOffset bounds the local clock minus the store's clock, as of the local time `at`.
    struct ClockOffset {
        std::chrono::nanoseconds lower;
        std::chrono::nanoseconds upper;
        SuspendAwareTime at;
    };

    [[nodiscard]] auto offsetAt(SuspendAwareTime now) const -> ClockOffset;

    Options m_options;
    std::optional<SuspendAwareTime> m_freshAsOf;
    std::optional<ClockOffset> m_offset;
};

} // namespace coriandergate::dispatch
