// What one daemon remembers of one started once-only request.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "once/AttemptId.h"
#include "once/AttemptOutcome.h"
#include "once/IdempotencyKey.h"

#include <cstdint>

namespace coriandergate::once {

// AttemptRecord is kept, for the retention counted from `openedAt`, by the ledger, by the owner and by a witness. On
// the wire its age travels in place of `openedAt`; the time on the way makes it look younger, which is the safe side.
struct AttemptRecord {
    IdempotencyKey key;
    AttemptId attempt;
    DaemonIdentity owner;
    std::uint64_t fingerprint = 0;
    std::uint64_t epoch = 0; // of the seat, when the permit was granted; 0 when the one who remembers can't know it
    AttemptOutcome outcome;
    MonotonicTime openedAt;
};

} // namespace coriandergate::once
