// Names for the two kinds of time that the project uses.
//
// Everything that decides takes the present time as an argument of type MonotonicTime; only the outermost layer reads a
// clock. WallTime is for people (audit trail, logs) and never decides anything.
//
//   auto isExpired(MonotonicTime now) const -> bool { return now >= m_deadline; }
#pragma once

#include <chrono>
#include <ctime>

namespace coriandergate {

using MonotonicTime = std::chrono::steady_clock::time_point;
using MonotonicDuration = std::chrono::steady_clock::duration;
using WallTime = std::chrono::system_clock::time_point;

// SuspendAwareClock is a steady clock that also counts the time for which the host was suspended. What must not be
// prolonged by a suspension, such as the age of a proof, is measured on it.
struct SuspendAwareClock {
    // The standard library asks for these names.
    // NOLINTBEGIN(readability-identifier-naming)
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<SuspendAwareClock>;
    static constexpr bool is_steady = true;
    // NOLINTEND(readability-identifier-naming)

    static auto now() -> time_point
    {
        timespec time {};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};
using SuspendAwareTime = SuspendAwareClock::time_point;

// monotonicNow() reads the monotonic clock. Only daemons, tools and tests call it. Safe from any thread.
inline auto monotonicNow() -> MonotonicTime { return std::chrono::steady_clock::now(); }

// wallNow() reads the wall clock. Only daemons, tools and tests call it. Safe from any thread.
inline auto wallNow() -> WallTime { return std::chrono::system_clock::now(); }

} // namespace coriandergate
