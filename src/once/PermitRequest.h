// The owner's question whether it may run a once-only request.
#pragma once

#include "base/DaemonIdentity.h"
#include "once/AttemptId.h"
#include "once/IdempotencyKey.h"

#include <cstdint>

namespace coriandergate::once {

// PermitRequest may be sent again as it is when its answer was lost: the same attempt is granted again.
struct PermitRequest {
    IdempotencyKey key;
    AttemptId attempt;
    DaemonIdentity owner;
    std::uint64_t fingerprint = 0;
};

} // namespace coriandergate::once
