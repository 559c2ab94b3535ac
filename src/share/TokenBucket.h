// A bucket of tokens by the generic cell rate algorithm, which also issues tokens for a moment soon to come.
//
//   TokenBucket bucket(now);
//   if (const auto delay = bucket.issue(limits, patience, now)) use(now + *delay);
//
// Source: ITU-T I.371, the generic cell rate algorithm as virtual scheduling.
#pragma once

#include "base/Clock.h"
#include "share/BucketLimits.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace coriandergate::share {

// TokenBucket is a value; not safe from several threads at once.
class TokenBucket {
public:
    // TokenBucket() is full from `fullAt` on.
    explicit TokenBucket(MonotonicTime fullAt)
        : m_arrival(fullAt)
    {
    }

    // emptyAt() is the bucket that holds nothing at `time`, whatever another issued until then under `limits`.
    [[nodiscard]] static auto emptyAt(const BucketLimits& limits, MonotonicTime time) -> TokenBucket
    {
        return TokenBucket(time + limits.tolerance + limits.interval);
    }

    // delay() is how long after `now` the next token can be issued.
    [[nodiscard]] auto delay(const BucketLimits& limits, MonotonicTime now) const -> std::chrono::nanoseconds
    {
        return std::max(MonotonicDuration::zero(), m_arrival - limits.tolerance - now);
    }

    // issue() takes a token and returns the delay from `now` after which it counts as issued; nothing if that were
    // longer than `patience`.
    [[nodiscard]] auto issue(const BucketLimits& limits, std::chrono::nanoseconds patience, MonotonicTime now)
        -> std::optional<std::chrono::nanoseconds>
    {
        const auto wait = delay(limits, now);
        if (wait > patience)
            return std::nullopt;
        m_arrival = std::max(m_arrival, now + wait) + limits.interval;
        return wait;
    }

    // hasPlenty() is whether at least half of the bucket is there at `now`.
    [[nodiscard]] auto hasPlenty(const BucketLimits& limits, MonotonicTime now) const -> bool
    {
        return m_arrival - now <= limits.tolerance / 2;
    }

    // isFull() is whether the bucket is as if it had never been used.
    [[nodiscard]] auto isFull(MonotonicTime now) const -> bool { return m_arrival <= now; }

    // rescale() keeps the number of tokens that are missing when the limits change from `before` to `after`.
    auto rescale(const BucketLimits& before, const BucketLimits& after, MonotonicTime now) -> void
    {
        if (isFull(now))
            return;
        const std::chrono::duration<double, std::nano> missing = m_arrival - now;
        const auto rescaled
            = missing * (static_cast<double>(after.interval.count()) / static_cast<double>(before.interval.count()));
        m_arrival = now + std::chrono::ceil<std::chrono::nanoseconds>(rescaled);
    }

private:
    MonotonicTime m_arrival; // the theoretical arrival time of the next token
};

} // namespace coriandergate::share
