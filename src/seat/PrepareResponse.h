// A guard's answer to a PrepareRequest.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/SeatTerm.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::seat {

// PrepareResponse, when `isGiven`, holds for the rest of the epoch; `remaining` is how long the guard's last lease to
// an earlier rank may still run.
struct PrepareResponse {
    DaemonIdentity successor;
    DaemonIdentity guard;
    std::uint32_t seat = 0;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    bool isGiven = false;
    std::chrono::milliseconds remaining { 0 };
};

} // namespace coriandergate::seat
