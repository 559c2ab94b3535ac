// How one attempt at a target ended, as seen by the daemon on the target's host.
//
//   observer.finish(ticket, Outcome::TruncatedResponse, now);
#pragma once

#include <cstddef>

namespace coriandergate::health {

// Outcome is the class of result of an attempt. Only Success and the failures are evidence for or against the target.
enum class Outcome {
    Success, // complete response with a status below 500
    ServerError, // complete response with a status of 500 or above, except Shed
    Shed, // the target refused because of its load (429 or 503)
    TruncatedResponse, // the connection closed before or during the response, or its length was wrong
    ConnectionFailed, // could not connect, from the target's own host
    TimedOut, // the deadline passed while the target processed the request
    Cancelled, // the caller disconnected; shows only that the response would have taken longer
    Crashed, // the target's process ended during the request; handled by poison/, not by gray failure detection
};

constexpr std::size_t outcomeCount = 8;

// isFailure() tells whether `outcome` is evidence against the target.
[[nodiscard]] constexpr auto isFailure(Outcome outcome) -> bool
{
    return outcome >= Outcome::ServerError && outcome <= Outcome::TimedOut;
}

} // namespace coriandergate::health
