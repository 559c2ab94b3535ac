// The mean number of calls to other services that the target on this host makes per request.
//
// A target sends its calls through the daemon on its host, without an API key, so the daemon sees both the requests
// that the target executes and the calls that it makes. Other requests without a key are counted as calls too, so the
// ratio is overestimated rather than underestimated.
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
    // recordRequest() counts a request that the target on this host executes.
    auto recordRequest(MonotonicTime now) -> void
    {
        decay(now);
        m_requests += 1;
    }

    // recordCall() counts a call to `service` that the target on this host makes.
    auto recordCall(std::string_view service, MonotonicTime now) -> void
    {
        decay(now);
        m_calls[std::string(service)] += 1;
    }

    // callsPerRequest() returns the mean calls per request to each service; empty while too few requests are counted.
    [[nodiscard]] auto callsPerRequest(MonotonicTime now) -> RetryBudget::CallsPerRequest
    {
        decay(now);
        RetryBudget::CallsPerRequest ratios;
        if (m_requests < s_minimumRequests)
            return ratios;
        for (const auto& [service, calls] : m_calls) {
            if (calls / m_requests >= s_minimumRatio)
                ratios[service] = std::min(s_maximumRatio, calls / m_requests);
        }
        return ratios;
    }

private:
    static constexpr double s_minimumRequests = 2;
    static constexpr double s_minimumRatio = 0.1; // below it, retries add hardly any load to the called service
    static constexpr double s_maximumRatio = 4; // bounds the error from other callers without a key
    static constexpr std::chrono::duration<double> s_halfLife { 5 };

    auto decay(MonotonicTime now) -> void
    {
        const std::chrono::duration<double> elapsed = now - m_decayedAt;
        const double decayFactor = std::exp2(-elapsed / s_halfLife);
        m_decayedAt = now;
        m_requests *= decayFactor;
        for (auto& [service, calls] : m_calls)
            calls *= decayFactor;
    }

    MonotonicTime m_decayedAt;
    double m_requests = 0;
    std::map<std::string, double, std::less<>> m_calls;
};

} // namespace coriandergate::dispatch
