// How long something that was put aside stays aside: doubled each time it happens again soon, up to a bound.
//
//   GrowingHold hold;
//   hold.begin({}, now); // 5 s
//   hold.begin({}, now + std::chrono::seconds(8)); // 10 s
#pragma once

#include "base/Clock.h"

#include <algorithm>

namespace coriandergate::health {

// GrowingHold is a value. Not thread-safe.
class GrowingHold {
public:
    struct Options {
        std::chrono::milliseconds initial { 5000 };
        std::chrono::milliseconds longest { 300000 };
        std::chrono::milliseconds recurrence { 600000 }; // a hold that begins this soon after the last one doubles
    };

    // begin() starts a hold at `now`.
    auto begin(const Options& options, MonotonicTime now) -> void
    {
        const auto isRecurrence = m_length.count() > 0 && now - m_until < options.recurrence;
        m_length = isRecurrence ? std::min(m_length * 2, options.longest) : options.initial;
        m_until = now + m_length;
    }

    // isOver() tells whether the last hold, if there was any, is over at `now`.
    [[nodiscard]] auto isOver(MonotonicTime now) const -> bool { return now >= m_until; }

private:
    std::chrono::milliseconds m_length { 0 };
    MonotonicTime m_until;
};

} // namespace coriandergate::health
