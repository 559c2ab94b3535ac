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
// target) and by witnesses, for the retention counted from `openedAt`. A message carries an age instead of
// `openedAt`: the time in transit then makes a record look younger, so that it is kept too long rather than too short.
struct AttemptRecord {
    IdempotencyKey key;
    AttemptId attempt;
    DaemonIdentity owner;
    std::uint64_t fingerprint = 0; // of the request, see fingerprintOf()
    std::uint64_t epoch = 0; // of the holder that granted the permit; 0 if unknown to the daemon that stores the record
    AttemptOutcome outcome;
    MonotonicTime openedAt; // in the record of the seat's holder: when it granted the permit
};

} // namespace coriandergate::once
