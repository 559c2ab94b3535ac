// A successor's, or a new epoch's holder's, message to a guard: lease no more to the ranks before mine.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/SeatTerm.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::seat {

// PrepareRequest asks the guard of `seat` in `epoch` never again to lease to a rank below `rank`; closedRank ends the
// epoch.
struct PrepareRequest {
    DaemonIdentity successor;
    DaemonIdentity guard;
    std::uint32_t seat = 0;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
};

} // namespace coriandergate::seat
