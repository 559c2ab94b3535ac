// The time by which a request must be answered, and its propagation from hop to hop.
//
// Clocks of different hosts can't be compared, so each hop receives the remaining time in milliseconds. Before it
// passes that on to the next hop, it subtracts a margin for the network round trip:
//
//   const auto deadline = Deadline::after(route.deadline, now);
//   if (const auto remaining = deadline.remainingForNextHop(now, hopMargin))
//       request.setHeader("X-Deadline-Ms", std::to_string(remaining->count()));
//   else
//       refuse(); // no time is left
#pragma once

#include "base/Clock.h"
#include "base/Error.h"

#include <compare>
#include <optional>
#include <string_view>

namespace coriandergate::admission {

// Deadline is a point in time on this host's monotonic clock.
class Deadline {
public:
    explicit Deadline(MonotonicTime at)
        : m_at(at)
    {
    }

    // after() is the deadline `remaining` from `now`. A negative `remaining` gives a deadline that has passed.
    [[nodiscard]] static auto after(MonotonicDuration remaining, MonotonicTime now) -> Deadline
    {
        return Deadline(now + remaining);
    }

    // at() is the deadline as a time on the monotonic clock.
    [[nodiscard]] auto at() const -> MonotonicTime { return m_at; }

    // hasPassed() is true at the deadline and later.
    [[nodiscard]] auto hasPassed(MonotonicTime now) const -> bool { return now >= m_at; }

    // remaining() is the time left, never negative.
    [[nodiscard]] auto remaining(MonotonicTime now) const -> MonotonicDuration;

    // remainingForNextHop() is the remaining time to send to the next hop: the time left minus `margin`, rounded down
    // to milliseconds. Empty when less than a millisecond would be left; the request must then not be forwarded.
    [[nodiscard]] auto remainingForNextHop(MonotonicTime now, MonotonicDuration margin) const
        -> std::optional<std::chrono::milliseconds>;

    friend auto operator<=>(const Deadline&, const Deadline&) -> std::strong_ordering = default;

private:
    MonotonicTime m_at;
};

// parseRemainingTime() parses the remaining time sent by a caller or by the previous hop: whole milliseconds in decimal
// digits, 1 to 86,400,000. For any other text it returns empty and sets `error`. Safe from any thread.
[[nodiscard]] auto parseRemainingTime(std::string_view text, Error& error) -> std::optional<std::chrono::milliseconds>;

} // namespace coriandergate::admission
