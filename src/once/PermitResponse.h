// The response of a seat's holder to a PermitRequest.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "once/AttemptId.h"
#include "once/AttemptOutcome.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace coriandergate::once {

// Permit allows the owner to start the attempt once, within `lifetime` of the time at which it sent the request, by its
// own clock.
struct Permit {
    std::uint64_t epoch = 0;
    MonotonicDuration lifetime = MonotonicDuration::zero();
};

// InProgress means that another attempt with this key may be running. Its owner can tell the outcome.
struct InProgress {
    AttemptId attempt;
    DaemonIdentity owner;
};

// AlreadyRan means that the request ran. The client receives the stored response, or is told that there is none.
struct AlreadyRan {
    Ran outcome;
};

// FingerprintMismatch means that the key was used before for a different request.
struct FingerprintMismatch { };

// OutcomeUnknown means that the request may have run before, so that it must not run again.
struct OutcomeUnknown { };

// PermitRefused means that the attempt doesn't run. The client may send its request again after `retryAfter`.
struct PermitRefused {
    // The numbers of the reasons are sent between daemons.
    enum class Reason {
        NotHolder, // this daemon doesn't hold the seat
        Rebuilding, // this daemon is the seat's new holder and hasn't received the reports of the fleet yet
        TableFull,
    };
    Reason reason = Reason::NotHolder;
    MonotonicDuration retryAfter = MonotonicDuration::zero();
};

using PermitResponse = std::variant<Permit, InProgress, AlreadyRan, FingerprintMismatch, OutcomeUnknown, PermitRefused>;

} // namespace coriandergate::once
