// A holder's message to a grantor that it has released its lease.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/SeatTerm.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::seat {

// LeaseRelease ends the lease of `seat` in `term`; the holder has already stopped acting in that term.
struct LeaseRelease {
    DaemonIdentity holder;
    DaemonIdentity grantor;
    std::uint32_t seat = 0;
    SeatTerm term;
};

} // namespace coriandergate::seat
