// Names for the two kinds of time that the project uses.
//
// Everything that decides takes the present time as an argument of type MonotonicTime; only the outermost layer reads a
// clock. WallTime is for people (audit trail, logs) and never decides anything.
//
//   auto isExpired(MonotonicTime now) const -> bool { return now >= m_deadline; }
#pragma once

#include <chrono>

namespace coriandergate {

using MonotonicTime = std::chrono::steady_clock::time_point;
using MonotonicDuration = std::chrono::steady_clock::duration;
using WallTime = std::chrono::system_clock::time_point;

// monotonicNow() reads the monotonic clock. Only daemons, tools and tests call it. Safe from any thread.
inline auto monotonicNow() -> MonotonicTime { return std::chrono::steady_clock::now(); }

// wallNow() reads the wall clock. Only daemons, tools and tests call it. Safe from any thread.
inline auto wallNow() -> WallTime { return std::chrono::system_clock::now(); }

} // namespace coriandergate
