// A grantor's response to a LeaseRequest.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/SeatTerm.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::seat {

// LeaseResponse grants a lease for `leaseDuration`, which the holder counts from when it sent the request, or refuses
// it. A refusal with a `promisedRank` above the holder's rank is final for the epoch.
struct LeaseResponse {
    DaemonIdentity holder;
    DaemonIdentity grantor;
    std::uint32_t seat = 0;
    SeatTerm term;
    std::uint64_t sequence = 0; // of the request
    bool isGranted = false;
    std::chrono::milliseconds leaseDuration { 0 };
    std::uint32_t promisedRank = 0;
};

} // namespace coriandergate::seat
