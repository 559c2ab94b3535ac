// What the holder of a seat answers when an owner asks whether it may run a once-only request.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "once/AttemptId.h"
#include "once/AttemptOutcome.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace coriandergate::once {

// Permit: run it once, beginning within `lifetime` of the moment the question was sent, by the owner's own clock.
struct Permit {
    std::uint64_t epoch = 0;
    MonotonicDuration lifetime = MonotonicDuration::zero();
};

// InProgress: another attempt with this key may be running. Its owner can tell how far it is.
struct InProgress {
    AttemptId attempt;
    DaemonIdentity owner;
};

// AlreadyRan: answer with what is kept, or that it ran and its answer was not kept.
struct AlreadyRan {
    Ran outcome;
};

// FingerprintMismatch: the key was used for another request.
struct FingerprintMismatch { };

// OutcomeUnknown: it may have run before; it must not run again.
struct OutcomeUnknown { };

// PermitRefused: not run, and may be tried again after `retryAfter`.
struct PermitRefused {
    enum class Reason {
        NotHolder, // this daemon doesn't hold the seat
        Rebuilding, // the seat is new here and the fleet is still being asked
        TableFull,
    };
    Reason reason = Reason::NotHolder;
    MonotonicDuration retryAfter = MonotonicDuration::zero();
};

using PermitResponse = std::variant<Permit, InProgress, AlreadyRan, FingerprintMismatch, OutcomeUnknown, PermitRefused>;

} // namespace coriandergate::once
