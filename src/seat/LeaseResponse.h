// A guard's answer to a LeaseRequest.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/SeatTerm.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::seat {

// LeaseResponse grants a lease for `duration`, which the holder counts from the moment it sent the ask, or refuses it.
// A refusal with `promisedRank` above the holder's own is final for the epoch.
struct LeaseResponse {
    DaemonIdentity holder;
    DaemonIdentity guard;
    std::uint32_t seat = 0;
    SeatTerm term;
    std::uint64_t sequence = 0;
    bool isGranted = false;
    std::chrono::milliseconds duration { 0 };
    std::uint32_t promisedRank = 0;
};

} // namespace coriandergate::seat
