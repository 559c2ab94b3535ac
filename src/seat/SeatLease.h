// The lease under which this daemon holds a seat.
#pragma once

#include "base/Clock.h"
#include "seat/SeatTerm.h"

namespace coriandergate::seat {

// SeatLease is a value. Whoever keeps state for a seat must discard it when the term differs from the last one seen:
// another daemon may have held the seat in between.
struct SeatLease {
    SeatTerm term;
    MonotonicTime heldSince; // start of the lease in this term
    MonotonicTime validUntil; // renewals move it forward
    bool isFirstLease = false; // the seat map knows of no earlier holder of this seat
};

} // namespace coriandergate::seat
