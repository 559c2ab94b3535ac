// The lease on a seat: the right of one daemon to decide about the seat's keys for a limited time.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"

#include <cstdint>
#include <optional>

namespace coriandergate::once {

// SeatLease is an input of IdempotencyTable. Whoever grants leases guarantees that a lease begins only after the
// previous one, and every permit granted under it, has expired on all clocks (`validUntil` includes that margin).
struct SeatLease {
    unsigned seat = 0;
    std::uint64_t epoch = 0; // increases with each change of holder, and of the seat's guards
    MonotonicTime validUntil; // by the holder's own clock; extended while it holds the seat
    MonotonicTime heldSince; // start of this epoch at the holder
    std::optional<DaemonIdentity> formerHolder; // empty if the seat was never held; default-constructed if unknown
    MonotonicDuration formerHoldDuration = MonotonicDuration::zero(); // of `formerHolder`; zero if unknown
};

} // namespace coriandergate::once
