// The mean number of calls to other services that the target on this host makes per request.
//
// A target sends its calls through the daemon on its host, without an API key, so the daemon sees both the requests
// that the target executes and the calls that it makes. Callers send requests without a key too, on open routes; but a
// target makes calls only while it executes something, so a route whose requests also come at other times is one of
// callers. The ratio is overestimated rather than underestimated, since retries are charged by it: requests that fail
// before they could make their calls aren't counted. A retry mostly goes to a target that doesn't fail it.
//
//   CallRatio ratio;
//   ratio.recordRequest(now);
//   ratio.recordKeyless({ .service = "stock", .route = "stock-levels" }, now);
//   if (const auto calls = ratio.callsPerRequest(now)) ...
#pragma once

#include "base/Clock.h"
#include "dispatch/RetryBudget.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <string>
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

    // KeylessRequest is a request without an API key that came to this host.
    struct KeylessRequest {
        std::string service;
        std::string route;
        bool isTargetIdle = false; // the target on this host executes nothing
    };

    // recordKeyless() counts a request that may be a call of the target on this host.
    auto recordKeyless(const KeylessRequest& request, MonotonicTime now) -> void
    {
        decay(now);
        m_calls[request.service][request.route] += 1;
        auto& arrivals = m_arrivals[request.route];
        arrivals.all += 1;
        arrivals.whileIdle += request.isTargetIdle ? 1 : 0;
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
        for (const auto& [service, requests] : m_calls) {
            double calls = 0;
            for (const auto& [route, count] : requests)
                calls += isOfCallers(m_arrivals[route]) ? 0 : count;
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
    static constexpr double s_maximumRatio = 4; // bounds the error from callers without a key
    static constexpr std::chrono::duration<double> s_halfLife { 5 };
    static constexpr std::chrono::duration<double> s_arrivalsHalfLife { 30 };
    // A call may arrive when its request has just been given up, so a few of them don't make a route one of callers.
    static constexpr double s_minimumWhileIdle = 2;
    static constexpr double s_minimumIdleFraction = 0.04;

    struct Arrivals {
        double all = 0;
        double whileIdle = 0;
    };

    [[nodiscard]] static auto isOfCallers(const Arrivals& arrivals) -> bool
    {
        return arrivals.whileIdle >= s_minimumWhileIdle && arrivals.whileIdle >= s_minimumIdleFraction * arrivals.all;
    }

    auto decay(MonotonicTime now) -> void
    {
        const std::chrono::duration<double> elapsed = now - m_decayedAt;
        const double decayFactor = std::exp2(-elapsed / s_halfLife);
        m_decayedAt = now;
        m_requests *= decayFactor;
        for (auto& [service, requests] : m_calls) {
            for (auto& [route, count] : requests)
                count *= decayFactor;
        }
        const double arrivalsFactor = std::exp2(-elapsed / s_arrivalsHalfLife);
        for (auto& [route, arrivals] : m_arrivals) {
            arrivals.all *= arrivalsFactor;
            arrivals.whileIdle *= arrivalsFactor;
        }
    }

    MonotonicTime m_decayedAt;
    double m_requests = 0;
    std::map<std::string, std::map<std::string, double>> m_calls; // by service and route
    std::map<std::string, Arrivals> m_arrivals; // by route
    std::map<std::string, RetryBudget::CallsPerRequest> m_callsOfCalls; // by the service that is called
};

} // namespace coriandergate::dispatch
