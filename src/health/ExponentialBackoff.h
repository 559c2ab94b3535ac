// The duration of repeated ejections or avoidances: doubled each time one follows soon after the last, up to a maximum.
//
//   ExponentialBackoff backoff;
//   backoff.start({}, now); // 5 s
//   backoff.start({}, now + std::chrono::seconds(8)); // 10 s
#pragma once

#include "base/Clock.h"

#include <algorithm>

namespace coriandergate::health {

// ExponentialBackoff is a value. Not thread-safe.
class ExponentialBackoff {
public:
    struct Options {
        std::chrono::milliseconds initial { 5000 };
        std::chrono::milliseconds maximum { 300000 };
        std::chrono::milliseconds resetAfter { 600000 }; // without a backoff for this long, `initial` applies again
    };

    // start() starts the next backoff at `now`.
    auto start(const Options& options, MonotonicTime now) -> void
    {
        const auto isRepeated = m_duration.count() > 0 && now - m_expiresAt < options.resetAfter;
        m_duration = isRepeated ? std::min(m_duration * 2, options.maximum) : options.initial;
        m_expiresAt = now + m_duration;
    }

    // hasElapsed() tells whether the last backoff, if there was any, has ended at `now`.
    [[nodiscard]] auto hasElapsed(MonotonicTime now) const -> bool { return now >= m_expiresAt; }

private:
    std::chrono::milliseconds m_duration { 0 };
    MonotonicTime m_expiresAt;
};

} // namespace coriandergate::health
