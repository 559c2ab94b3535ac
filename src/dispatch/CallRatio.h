// The mean number of calls to other services that the target on this host makes per request.
//
// A target sends its calls through the daemon on its host, without an API key, so the daemon sees both the requests
// that the target executes and the calls that it makes. The ratio is overestimated rather than underestimated, since
// retries are charged by it: other requests without a key are counted as calls too, and requests that fail before they
// could make their calls aren't counted. A retry mostly goes to a target that doesn't fail it.
//
//   CallRatio ratio;
//   ratio.recordRequest(now);
//   ratio.recordCall("stock", now);
//   if (const auto calls = ratio.callsPerRequest(now)) ...
#pragma once

#include "base/Clock.h"
#include "dispatch/RetryBudget.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace coriandergate::dispatch {

// CallRatio is used by one thread.
class CallRatio {
public:
    // recordRequest() counts a request that the target on this host has executed, once it had the time for its calls.
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

    // recordCallsOf() takes note of the calls that each request to `service` makes in turn.
    auto recordCallsOf(const std::string& service, RetryBudget::CallsPerRequest calls) -> void
    {
        m_callsOfCalls[service] = std::move(calls);
    }

    // callsPerRequest() returns the mean calls per request to each service, with those that these calls make; nothing
    // while too few requests are counted.
    [[nodiscard]] auto callsPerRequest(MonotonicTime now) -> std::optional<RetryBudget::CallsPerRequest>
    {
        decay(now);
        if (m_requests < s_minimumRequests)
            return std::nullopt;
        RetryBudget::CallsPerRequest ratios;
        for (const auto& [service, calls] : m_calls) {
            const double ratio = std::min(s_maximumRatio, calls / m_requests);
            if (ratio < s_minimumRatio)
                continue;
            ratios[service] += ratio;
            for (const auto& [called, count] : m_callsOfCalls[service])
                ratios[called] += ratio * count;
        }
        for (auto& [service, ratio] : ratios)
            ratio = std::min(s_maximumRatio, ratio);
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
    std::map<std::string, RetryBudget::CallsPerRequest> m_callsOfCalls; // by the service that is called
};

} // namespace coriandergate::dispatch
