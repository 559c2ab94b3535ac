// The right of one daemon to decide about the keys of one seat, for a time.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"

#include <cstdint>
#include <optional>

namespace coriandergate::once {

// SeatLease is an input of the ledger: whoever manages the seats grants it, and guarantees that a tenure begins only
// after the one before, and every permit under it, has run out on all clocks (`validUntil` carries that margin).
struct SeatLease {
    unsigned seat = 0;
    std::uint64_t epoch = 0; // grows with each change of holder
    MonotonicTime validUntil; // the holder's own clock; renewed while it holds the seat
    MonotonicTime heldSince; // within this epoch
    std::optional<DaemonIdentity> formerHolder; // empty when the seat was never held before
    MonotonicDuration formerHoldDuration
        = MonotonicDuration::zero(); // length of the tenure before; zero when not known
};

} // namespace coriandergate::once
