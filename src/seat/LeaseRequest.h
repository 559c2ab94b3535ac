// A request from a seat's holder to a grantor to grant or renew the lease.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/SeatTerm.h"

#include <cstdint>

namespace coriandergate::seat {

// LeaseRequest asks for a lease of `seat` in `term`. `sequence` grows with every request of the holder.
// `acknowledgedSequence` is the highest sequence that the grantor has granted as far as the holder knows, which shows
// the grantor that its responses arrive.
struct LeaseRequest {
    DaemonIdentity holder;
    DaemonIdentity grantor;
    std::uint32_t seat = 0;
    SeatTerm term;
    std::uint64_t sequence = 0;
    std::uint64_t acknowledgedSequence = 0;
};

} // namespace coriandergate::seat
