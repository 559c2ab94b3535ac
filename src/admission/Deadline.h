// The time by which a request must be answered, and how it travels from hop to hop.
//
// Clocks of different hosts can't be compared, so a hop is told the time that remains, in milliseconds, and subtracts a
// margin for the way there and back before it tells the next one:
//
//   const auto deadline = Deadline::after(route.deadline, now);
//   if (const auto remaining = deadline.remainingForNextHop(now, hopMargin))
//       request.setHeader("X-Deadline-Ms", std::to_string(remaining->count()));
//   else
//       refuse(); // not run: no time is left
#pragma once

#include "base/Clock.h"
#include "base/Error.h"

#include <compare>
#include <optional>
#include <string_view>

namespace coriandergate::admission {

// Deadline is a value: a point of this host's monotonic clock.
class Deadline {
public:
    explicit Deadline(MonotonicTime at)
        : m_at(at)
    {
    }

    // after() is the deadline `remaining` from `now`; a negative `remaining` gives one that has passed.
    [[nodiscard]] static auto after(MonotonicDuration remaining, MonotonicTime now) -> Deadline
    {
        return Deadline(now + remaining);
    }

    // at() is the point in time itself.
    [[nodiscard]] auto at() const -> MonotonicTime { return m_at; }

    // hasPassed() is true from the deadline on.
    [[nodiscard]] auto hasPassed(MonotonicTime now) const -> bool { return now >= m_at; }

    // remaining() is the time left, never negative.
    [[nodiscard]] auto remaining(MonotonicTime now) const -> MonotonicDuration;

    // remainingForNextHop() is what the next hop may be told: the time left less `margin`, rounded down to whole
    // milliseconds. Empty when nothing would be left; then the request must not be forwarded.
    [[nodiscard]] auto remainingForNextHop(MonotonicTime now, MonotonicDuration margin) const
        -> std::optional<std::chrono::milliseconds>;

    friend auto operator<=>(const Deadline&, const Deadline&) -> std::strong_ordering = default;

private:
    MonotonicTime m_at;
};

// parseRemainingTime() reads the remaining time that a caller or a hop sent: whole milliseconds in decimal digits, 1 to
// 86,400,000. Anything else is empty, with the reason in `error`. Safe from any thread.
[[nodiscard]] auto parseRemainingTime(std::string_view text, Error& error) -> std::optional<std::chrono::milliseconds>;

} // namespace coriandergate::admission
