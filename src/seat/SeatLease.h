// A daemon's present hold of a seat.
#pragma once

#include "base/Clock.h"
#include "seat/SeatTerm.h"

namespace coriandergate::seat {

// SeatLease says in which term the daemon holds the seat, since when it has done so in this term, and until when at
// least; state that belongs to the seat is begun anew when the term differs from the last one seen.
struct SeatLease {
    SeatTerm term;
    MonotonicTime heldSince;
    MonotonicTime validUntil;
    bool isFirstLease = false; // nobody has held this seat before, as far as the store remembers
};

} // namespace coriandergate::seat
