// How one attempt at a target ended, as seen by the daemon beside it.
//
//   observer.finish(ticket, Outcome::TruncatedResponse, now);
#pragma once

#include <cstddef>

namespace coriandergate::health {

// Outcome is one class of ending. Only Success and the failures count towards a verdict on the target.
enum class Outcome {
    Success, // a whole answer below 500
    ServerError, // a whole answer of 500 or above, but for Shed
    Shed, // the target refused for load (429 or 503)
    TruncatedResponse, // the answer was cut, before its first byte or after it, or its length was wrong
    ConnectionFailed, // no connection could be made on the target's own host
    TimedOut, // the deadline ran out while the target had the request
    Cancelled, // the caller went away; says only that the answer took longer than this
    Crashed, // the target's process ended while it had the request; a matter for poison/, not for gray detection
};

constexpr std::size_t outcomeCount = 8;

// isFailure() tells whether `outcome` speaks against the target.
[[nodiscard]] constexpr auto isFailure(Outcome outcome) -> bool
{
    return outcome >= Outcome::ServerError && outcome <= Outcome::TimedOut;
}

} // namespace coriandergate::health
