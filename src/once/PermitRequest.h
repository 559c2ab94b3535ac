// An owner's request for permission to run an at-most-once request.
#pragma once

#include "base/DaemonIdentity.h"
#include "once/AttemptId.h"
#include "once/IdempotencyKey.h"

#include <cstdint>

namespace coriandergate::once {

// PermitRequest may be sent again unchanged when its response was lost: the same attempt is granted again.
struct PermitRequest {
    IdempotencyKey key;
    AttemptId attempt;
    DaemonIdentity owner;
    std::uint64_t fingerprint = 0;
};

} // namespace coriandergate::once
