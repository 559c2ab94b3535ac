// Estimates the request rate of a client account at this daemon from the arrival times of its requests.
//
//   estimator.recordRequest(now);
//   const auto requestsPerSecond = estimator.requestsPerSecond(now);
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::share {

// DemandEstimator is a moving average over windows of at least 100 ms, in which each new window has weight one half. A
// window ends at the first request at least 100 ms after its start. A window of 400 ms or more counts as a pause and
// resets the estimate to 0.
class DemandEstimator {
public:
    // recordRequest() counts one request.
    auto recordRequest(MonotonicTime now) -> void
    {
        ++m_windowRequests;
        const auto elapsed = now - m_windowStart;
        if (elapsed < s_minimumWindow)
            return;
        const auto windowRequestsPerSecond = m_windowRequests / std::chrono::duration<double>(elapsed).count();
        m_requestsPerSecond = elapsed < s_pauseThreshold ? (m_requestsPerSecond + windowRequestsPerSecond) / 2 : 0;
        m_windowStart = now;
        m_windowRequests = 0;
    }

    // requestsPerSecond() is the estimate at `now`; 0 during a pause.
    [[nodiscard]] auto requestsPerSecond(MonotonicTime now) const -> double
    {
        return now - m_windowStart < s_pauseThreshold ? m_requestsPerSecond : 0;
    }

private:
    static constexpr std::chrono::milliseconds s_minimumWindow { 100 };
    static constexpr std::chrono::milliseconds s_pauseThreshold { 400 };

    MonotonicTime m_windowStart;
    std::uint32_t m_windowRequests = 0;
    double m_requestsPerSecond = 0;
};

} // namespace coriandergate::share
