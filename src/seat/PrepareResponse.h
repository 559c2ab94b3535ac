// A grantor's response to a PrepareRequest.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/SeatTerm.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::seat {

// PrepareResponse tells whether the grantor has promised; a promise holds for the rest of the epoch. `remainingLease`
// is how long the last lease that the grantor granted in the epoch may still be valid.
struct PrepareResponse {
    DaemonIdentity candidate;
    DaemonIdentity grantor;
    std::uint32_t seat = 0;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    bool isPromised = false;
    std::chrono::milliseconds remainingLease { 0 };
};

} // namespace coriandergate::seat
