// How one attempt went, seen from the entry.
#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <optional>

namespace coriandergate::proxy {

// OwnerReport is what the daemon beside the target adds to its answer.
struct OwnerReport {
    MonotonicDuration serviceTime {}; // in the target
    MonotonicDuration queueTime {}; // waiting for a slot
    std::uint32_t waiting = 0; // requests that wait for the service's slots on that host
    std::uint32_t busySlots = 0; // of the target
    std::uint32_t slots = 0; // of the target
    bool hasTargetCrashed = false;
};

// AttemptReport is a value.
struct AttemptReport {
    enum class Result {
        Answered,
        Refused, // by the owner, not run
        Failed, // by the target, or on the way to it
        Unreachable, // the owner could not be reached or went silent
        Cancelled,
    };

    Result result = Result::Answered;
    int status = 0; // of the target's answer
    MonotonicDuration totalTime {}; // from sending to the whole answer
    std::optional<OwnerReport> owner; // nothing when no word came from the owner
};

} // namespace coriandergate::proxy
