// A token bucket that can also issue tokens in advance, which become valid after a short delay.
//
//   TokenBucket bucket(now);
//   if (const auto delay = bucket.issue(limits, maximumDelay, now)) use(now + *delay);
//
// Uses the generic cell rate algorithm in its virtual scheduling form (ITU-T I.371).
#pragma once

#include "base/Clock.h"
#include "share/BucketLimits.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace coriandergate::share {

// TokenBucket is a value type. Not thread-safe.
class TokenBucket {
public:
    // TokenBucket() is full from `fullAt` on.
    explicit TokenBucket(MonotonicTime fullAt)
        : m_theoreticalArrivalTime(fullAt)
    {
    }

    // emptyAt() is a bucket whose last token was taken at `time`. No bucket with the same `limits` whose tokens all
    // became valid by `time` can be emptier.
    [[nodiscard]] static auto emptyAt(const BucketLimits& limits, MonotonicTime time) -> TokenBucket
    {
        return TokenBucket(time + limits.tolerance + limits.interval);
    }

    // delayUntilNextToken() is the time from `now` until the next token is valid.
    [[nodiscard]] auto delayUntilNextToken(const BucketLimits& limits, MonotonicTime now) const
        -> std::chrono::nanoseconds
    {
        return std::max(MonotonicDuration::zero(), m_theoreticalArrivalTime - limits.tolerance - now);
    }

    // issue() takes a token and returns the delay from `now` until it is valid; empty if that would exceed
    // `maximumDelay`.
    [[nodiscard]] auto issue(const BucketLimits& limits, std::chrono::nanoseconds maximumDelay, MonotonicTime now)
        -> std::optional<std::chrono::nanoseconds>
    {
        const auto delay = delayUntilNextToken(limits, now);
        if (delay > maximumDelay)
            return std::nullopt;
        m_theoreticalArrivalTime = std::max(m_theoreticalArrivalTime, now + delay) + limits.interval;
        return delay;
    }

    // isHalfFull() is true if at least half of the tolerance is unused at `now`.
    [[nodiscard]] auto isHalfFull(const BucketLimits& limits, MonotonicTime now) const -> bool
    {
        return m_theoreticalArrivalTime - now <= limits.tolerance / 2;
    }

    // isFull() is true if the bucket behaves like one that was never used.
    [[nodiscard]] auto isFull(MonotonicTime now) const -> bool { return m_theoreticalArrivalTime <= now; }

    // rescale() changes the limits from `oldLimits` to `newLimits`; as many tokens are missing from a full bucket as
    // before.
    auto rescale(const BucketLimits& oldLimits, const BucketLimits& newLimits, MonotonicTime now) -> void
    {
        if (isFull(now))
            return;
        const std::chrono::duration<double, std::nano> untilFull = m_theoreticalArrivalTime - now;
        const auto rescaled = untilFull
            * (static_cast<double>(newLimits.interval.count()) / static_cast<double>(oldLimits.interval.count()));
        m_theoreticalArrivalTime = now + std::chrono::ceil<std::chrono::nanoseconds>(rescaled);
    }

private:
    MonotonicTime m_theoreticalArrivalTime;
};

} // namespace coriandergate::share
