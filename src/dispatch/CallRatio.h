// How many calls of other services a run at this host's target makes, on average.
//
// A target calls through the daemon beside it, without a key, so both its runs and its calls are seen here. Other
// requests without a key are counted too, which makes the ratio too high rather than too low.
//
//   CallRatio ratio;
//   ratio.recordRequest(now);
//   ratio.recordCall("stock", now);
//   const auto calls = ratio.callsPerRequest(now);
#pragma once

#include "base/Clock.h"
#include "dispatch/RetryBudget.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <string_view>

namespace coriandergate::dispatch {

// CallRatio is used by one thread.
class CallRatio {
public:
    auto recordRequest(MonotonicTime now) -> void
    {
        fade(now);
        m_runs += 1;
    }

    auto recordCall(std::string_view service, MonotonicTime now) -> void
    {
        fade(now);
        m_calls[std::string(service)] += 1;
    }

    // callsPerRequest() is the ratio for each service; empty before a few runs were seen.
    [[nodiscard]] auto callsPerRequest(MonotonicTime now) -> RetryBudget::CallsPerRequest
    {
        fade(now);
        RetryBudget::CallsPerRequest ratios;
        if (m_runs < s_fewestRuns)
            return ratios;
        for (const auto& [service, calls] : m_calls) {
            if (calls / m_runs >= s_leastRatio)
                ratios[service] = std::min(s_greatestRatio, calls / m_runs);
        }
        return ratios;
    }

private:
    static constexpr double s_fewestRuns = 2;
    static constexpr double s_leastRatio = 0.1; // below it repeats hardly show at the service called
    static constexpr double s_greatestRatio = 4; // requests of callers without a key aren't taken for calls beyond it
    static constexpr std::chrono::duration<double> s_memory { 5 }; // half of what was seen fades within it

    auto fade(MonotonicTime now) -> void
    {
        const std::chrono::duration<double> passed = now - m_fadedAt;
        const double kept = std::exp2(-passed / s_memory);
        m_fadedAt = now;
        m_runs *= kept;
        for (auto& [service, calls] : m_calls)
            calls *= kept;
    }

    MonotonicTime m_fadedAt;
    double m_runs = 0;
    std::map<std::string, double, std::less<>> m_calls;
};

} // namespace coriandergate::dispatch
