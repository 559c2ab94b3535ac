// What a client account may use in any window, and a bucket that keeps a part of it.
//
//   const RateLimits limits { .window = 5s, .overage = 0.1, .slack = 20 };
//   TokenBucket bucket(startedAt);
//   bucket.refill(limits.partOf(account, 0.25), now);
//   if (bucket.tokens() >= 1) bucket.take();
#pragma once

#include "base/Clock.h"
#include "config/ClientAccount.h"

#include <algorithm>
#include <chrono>

namespace coriandergate::dispatch {

// TokenBucketLimits is a part of an account's limits.
struct TokenBucketLimits {
    double perSecond = 0;
    double depth = 0; // requests at once after a pause
    double atStart = 0; // requests that a bucket whose past isn't known begins with
};

// RateLimits says how an account's use is counted. Buckets whose parts add up to 1 keep within it in every window.
struct RateLimits {
    std::chrono::milliseconds window { 5000 };
    double overage = 0.1; // part by which a window's sum may exceed rate x window + burst
    double slack = 20; // requests by which it may exceed it besides
    double usedPart = 0.9; // of what the window allows beyond the rate; the rest is for requests that are held up

    // What buckets begin with when their past isn't known is taken off their depth, so that one start of each within a
    // window stays within the limit. It covers the requests of a quarter of a second, and one at each bucket; at most
    // half of what the depth has above the burst, so that a second start within the window fits into the rest.
    std::chrono::milliseconds startCover { 250 };
    double startPart = 0.5;

    // partOf() is `part` of the limits of `account`.
    [[nodiscard]] auto partOf(const config::ClientAccount& account, double part) const -> TokenBucketLimits
    {
        const std::chrono::duration<double> seconds = window;
        const double inWindow = account.ratePerSecond * seconds.count();
        const double beyond = (inWindow + account.burst) * (1 + overage) + slack - inWindow;
        const double depth = beyond * usedPart;
        const std::chrono::duration<double> covered = startCover;
        const double wanted = 1 / part + account.ratePerSecond * covered.count();
        const double atStart = std::clamp((depth - account.burst) * startPart, 0.0, wanted);
        return { account.ratePerSecond * part, (depth - atStart) * part, atStart * part };
    }
};

// TokenBucket is a token bucket whose limits may change.
class TokenBucket {
public:
    // TokenBucket() holds `tokens` at `startedAt`.
    explicit TokenBucket(MonotonicTime startedAt, double tokens = 0)
        : m_tokens(tokens)
        , m_filledAt(startedAt)
    {
    }

    auto refill(const TokenBucketLimits& part, MonotonicTime now) -> void
    {
        const std::chrono::duration<double> passed = std::max(MonotonicDuration::zero(), now - m_filledAt);
        m_tokens = std::min(part.depth, m_tokens + passed.count() * part.perSecond);
        m_filledAt = std::max(m_filledAt, now);
    }

    auto take() -> void { m_tokens -= 1; }
    [[nodiscard]] auto tokens() const -> double { return m_tokens; }

    // retryAfter() is how long after the last refill() the next request is there.
    [[nodiscard]] auto retryAfter(const TokenBucketLimits& part) const -> std::chrono::milliseconds
    {
        constexpr std::chrono::milliseconds longest { 60000 }; // for a bucket that never fills
        if (part.perSecond <= 0 || part.depth < 1)
            return longest;
        const std::chrono::duration<double> wait(std::max(0.0, 1 - m_tokens) / part.perSecond);
        return std::min(longest, std::chrono::ceil<std::chrono::milliseconds>(wait));
    }

private:
    double m_tokens;
    MonotonicTime m_filledAt;
};

} // namespace coriandergate::dispatch
