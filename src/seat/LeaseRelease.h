// A holder's message to a guard: I have stopped, my lease has ended.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/SeatTerm.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::seat {

// LeaseRelease ends the lease of `seat` in `term`; the holder has already stopped acting in that term.
struct LeaseRelease {
    DaemonIdentity holder;
    DaemonIdentity guard;
    std::uint32_t seat = 0;
    SeatTerm term;
};

} // namespace coriandergate::seat
