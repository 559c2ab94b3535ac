// How many requests a client account may send in any window, and a token bucket that enforces a fraction of it.
//
//   const RateLimits limits { .window = 5s, .overage = 0.1, .slack = 20 };
//   const auto bucketLimits = limits.bucketLimits(account, 0.25);
//   TokenBucket bucket(startedAt);
//   bucket.refill(bucketLimits, now);
//   if (bucket.tokens() >= 1) bucket.consume();
#pragma once

#include "base/Clock.h"
#include "config/ClientAccount.h"

#include <algorithm>
#include <chrono>

namespace coriandergate::dispatch {

// TokenBucketLimits configures a token bucket; a token is one request.
struct TokenBucketLimits {
    double tokensPerSecond = 0;
    double capacity = 0;
    double initialTokens = 0; // of a bucket whose history is unknown
};

// RateLimits configures how an account's requests are counted. Buckets whose fractions add up to 1 keep the account
// within its limit in every window.
struct RateLimits {
    std::chrono::milliseconds window { 5000 };
    double overage = 0.1; // fraction by which a window may exceed rate x window + burst
    double slack = 20; // requests by which a window may exceed it in addition
    // Fraction of what a window allows beyond the rate that buckets may hold; the rest is for delayed requests.
    double usableFraction = 0.9;

    // A bucket whose history is unknown, as after a restart, starts with a few tokens. They are deducted from its
    // capacity, so that one restart of every bucket within a window keeps the limit. They cover one request per bucket
    // and the account's rate for initialRefillTime, but at most initialFraction of what the capacity has above the
    // burst, so that a second restart within the window fits into the rest.
    std::chrono::milliseconds initialRefillTime { 250 };
    double initialFraction = 0.5;

    // bucketLimits() returns the limits of a bucket that enforces `fraction` of the limit of `account`.
    [[nodiscard]] auto bucketLimits(const config::ClientAccount& account, double fraction) const -> TokenBucketLimits
    {
        const std::chrono::duration<double> seconds = window;
        const double requestsAtRate = account.ratePerSecond * seconds.count();
        const double requestsBeyondRate = (requestsAtRate + account.burst) * (1 + overage) + slack - requestsAtRate;
        const double capacity = requestsBeyondRate * usableFraction;
        const std::chrono::duration<double> refillTime = initialRefillTime;
        const double wantedInitialTokens = 1 / fraction + account.ratePerSecond * refillTime.count();
        const double initialTokens = std::clamp((capacity - account.burst) * initialFraction, 0.0, wantedInitialTokens);
        return { account.ratePerSecond * fraction, (capacity - initialTokens) * fraction, initialTokens * fraction };
    }
};

// TokenBucket is a token bucket whose limits may change.
class TokenBucket {
public:
    // TokenBucket() holds `tokens` at `startedAt`.
    explicit TokenBucket(MonotonicTime startedAt, double tokens = 0)
        : m_tokens(tokens)
        , m_refilledAt(startedAt)
    {
    }

    // refill() adds the tokens for the time since the last refill, up to the capacity.
    auto refill(const TokenBucketLimits& limits, MonotonicTime now) -> void
    {
        const std::chrono::duration<double> elapsed = std::max(MonotonicDuration::zero(), now - m_refilledAt);
        m_tokens = std::min(limits.capacity, m_tokens + elapsed.count() * limits.tokensPerSecond);
        m_refilledAt = std::max(m_refilledAt, now);
    }

    auto consume() -> void { m_tokens -= 1; }
    [[nodiscard]] auto tokens() const -> double { return m_tokens; }

    // retryAfter() returns how long after the last refill() the next token is available.
    [[nodiscard]] auto retryAfter(const TokenBucketLimits& limits) const -> std::chrono::milliseconds
    {
        constexpr std::chrono::milliseconds maximum { 60000 }; // also for a bucket that never holds a whole token
        if (limits.tokensPerSecond <= 0 || limits.capacity < 1)
            return maximum;
        const std::chrono::duration<double> wait(std::max(0.0, 1 - m_tokens) / limits.tokensPerSecond);
        return std::min(maximum, std::chrono::ceil<std::chrono::milliseconds>(wait));
    }

private:
    double m_tokens;
    MonotonicTime m_refilledAt;
};

} // namespace coriandergate::dispatch
