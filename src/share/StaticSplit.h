// The naive way to share an account's limits: every daemon gets the same fixed part of them. The baseline to compare
// with; the product does not use it.
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

// StaticSplit is one daemon's part; not safe from several threads at once.
class StaticSplit {
public:
    explicit StaticSplit(std::size_t daemons)
        : m_daemons(static_cast<double>(daemons))
    {
    }

    // acquire() is whether a request may go at `now`. A part of the burst below one request counts as one.
    [[nodiscard]] auto acquire(const std::string& account, double ratePerSecond, double burst, MonotonicTime now)
        -> bool
    {
        const auto interval = std::chrono::duration<double>(m_daemons / ratePerSecond);
        BucketLimits limits { 1, std::chrono::ceil<std::chrono::nanoseconds>(interval), {}, {} };
        limits.tolerance
            = std::chrono::floor<std::chrono::nanoseconds>(interval * (std::max(burst / m_daemons, 1.0) - 1));
        auto& bucket = m_buckets.try_emplace(account, now).first->second;
        return bucket.issue(limits, std::chrono::nanoseconds::zero(), now).has_value();
    }

private:
    double m_daemons;
    std::map<std::string, TokenBucket> m_buckets;
};

} // namespace coriandergate::share
