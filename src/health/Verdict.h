// What the seat holder makes of one target.
#pragma once

namespace coriandergate::health {

// Cause is why a target is held to be gray.
enum class Cause {
    None,
    Slow,
    Failing,
    TruncatedResponses,
    Unreachable,
};

// Decision says what should happen to the target.
enum class Decision {
    NoAction,
    Observe, // suspicious, but the evidence against fresh reports of its peers does not suffice yet
    ServiceWide, // suspicious, as are so many of its peers that no ejection would help
    Eject,
};

// Verdict is a value; see GrayDetector::receive().
struct Verdict {
    Decision decision = Decision::NoAction;
    Cause cause = Cause::None;
    float evidence = 0; // nats
};

} // namespace coriandergate::health
