// Estimates how many requests a second an account sends here, from their times alone.
//
//   estimator.note(now);
//   const auto requestsPerSecond = estimator.rate(now);
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::share {

// DemandEstimator averages windows of 100 ms, each new one with half the weight. A pause begins it anew.
class DemandEstimator {
public:
    // note() counts one request.
    auto note(MonotonicTime now) -> void
    {
        ++m_count;
        const auto elapsed = now - m_start;
        if (elapsed < s_window)
            return;
        const auto latest = m_count / std::chrono::duration<double>(elapsed).count();
        m_rate = elapsed < s_silence ? (m_rate + latest) / 2 : 0;
        m_start = now;
        m_count = 0;
    }

    // rate() is in requests a second; it is 0 when no request has come for a while.
    [[nodiscard]] auto rate(MonotonicTime now) const -> double { return now - m_start < s_silence ? m_rate : 0; }

private:
    static constexpr std::chrono::milliseconds s_window { 100 };
    static constexpr std::chrono::milliseconds s_silence { 400 };

    MonotonicTime m_start;
    std::uint32_t m_count = 0;
    double m_rate = 0;
};

} // namespace coriandergate::share
