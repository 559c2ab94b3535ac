// A request to a grantor to grant no more leases to lower ranks, like phase 1 of Paxos.
//
// A successor sends it to take over the seat within an epoch. The holder of a new epoch sends it to close an earlier
// epoch.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/SeatTerm.h"

#include <cstdint>

namespace coriandergate::seat {

// PrepareRequest asks the grantor of `seat` in `epoch` to promise that it grants no more leases to ranks below `rank`.
// closedRank closes the epoch.
struct PrepareRequest {
    DaemonIdentity candidate;
    DaemonIdentity grantor;
    std::uint32_t seat = 0;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
};

} // namespace coriandergate::seat
