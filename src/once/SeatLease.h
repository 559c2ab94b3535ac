// The lease on a seat: the right of one daemon to decide about the seat's keys for a limited time.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"

#include <cstdint>
#include <optional>

namespace coriandergate::once {

// SeatLease is an input of IdempotencyTable. It describes a lease of src/seat in the terms that the table needs. When a
// lease begins, the previous one and every permit granted under it must have expired on the clocks of all daemons;
// `validUntil` is early enough for that.
struct SeatLease {
    unsigned seat = 0;
    // Stands for epoch and rank of a seat::SeatTerm; increases with each change of holder, and of the seat's grantors.
    std::uint64_t epoch = 0;
    MonotonicTime validUntil; // by the holder's own clock; extended while it holds the seat
    MonotonicTime heldSince; // start of this epoch at the holder
    std::optional<DaemonIdentity> formerHolder; // nullopt: never held before; with an empty address: unknown
    MonotonicDuration formerHoldDuration = MonotonicDuration::zero(); // of `formerHolder`; zero if unknown
};

} // namespace coriandergate::once
