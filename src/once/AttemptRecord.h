// What a daemon stores about one attempt to run an at-most-once request.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "once/AttemptId.h"
#include "once/AttemptOutcome.h"
#include "once/IdempotencyKey.h"

#include <cstdint>

namespace coriandergate::once {

// AttemptRecord is stored by the holder of the key's seat, by the owner (the daemon that sends the request to the
// target) and by witnesses, for the retention counted from `openedAt`. On the wire, `openedAt` is replaced by an age;
// the time in transit makes a record look younger, so that it is kept too long rather than too short.
struct AttemptRecord {
    IdempotencyKey key;
    AttemptId attempt;
    DaemonIdentity owner;
    std::uint64_t fingerprint = 0;
    std::uint64_t epoch = 0; // of the seat when it granted the permit; 0 if this daemon can't know it
    AttemptOutcome outcome;
    MonotonicTime openedAt; // in the record of the seat's holder: when it granted the permit
};

} // namespace coriandergate::once
