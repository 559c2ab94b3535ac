// A baseline for comparisons that the daemon does not use: static partitioning of the rate limit, where every daemon
// enforces the same fixed fraction of each account's rate and burst.
//
//   StaticSplit split(daemonCount);
//   if (split.acquire("account-7", ratePerSecond, burst, now)) forward();
#pragma once

#include "base/Clock.h"
#include "share/TokenBucket.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>

namespace coriandergate::share {

// StaticSplit enforces one daemon's fraction. Not thread-safe.
class StaticSplit {
public:
    explicit StaticSplit(std::size_t daemonCount)
        : m_daemonCount(static_cast<double>(daemonCount))
    {
    }

    // acquire() is true if a request may be forwarded at `now`. A fraction of the burst below one request counts as
    // one.
    [[nodiscard]] auto acquire(const std::string& account, double ratePerSecond, double burst, MonotonicTime now)
        -> bool
    {
        const auto interval = std::chrono::duration<double>(m_daemonCount / ratePerSecond);
        BucketLimits limits { 1, std::chrono::ceil<std::chrono::nanoseconds>(interval), {}, {} };
        limits.tolerance
            = std::chrono::floor<std::chrono::nanoseconds>(interval * (std::max(burst / m_daemonCount, 1.0) - 1));
        auto& bucket = m_buckets.try_emplace(account, now).first->second;
        return bucket.issue(limits, std::chrono::nanoseconds::zero(), now).has_value();
    }

private:
    double m_daemonCount;
    std::map<std::string, TokenBucket> m_buckets;
};

} // namespace coriandergate::share
