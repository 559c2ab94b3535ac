// A holder's message to a guard: renew my lease of a seat.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/SeatTerm.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::seat {

// LeaseRequest asks for a lease of `seat` in `term`. `sequence` grows with every ask of the holder; `acknowledged`
// is the last sequence whose LeaseResponse reached it, by which the guard sees that its answers arrive.
struct LeaseRequest {
    DaemonIdentity holder;
    DaemonIdentity guard;
    std::uint32_t seat = 0;
    SeatTerm term;
    std::uint64_t sequence = 0;
    std::uint64_t acknowledged = 0;
};

} // namespace coriandergate::seat
