// The result of evaluating one target for gray failure.
#pragma once

namespace coriandergate::health {

// Cause is the kind of failure with the most evidence.
enum class Cause {
    None,
    Slow,
    Failing,
    TruncatedResponses,
    Unreachable,
};

// Decision is what to do with the target.
enum class Decision {
    NoAction,
    Observe, // suspicious, but the comparison with its peers does not give enough evidence yet
    ServiceWide, // suspicious, but so are so many peers that ejections would not help
    Eject,
};

// Verdict is a value; see GrayFailureDetector::receive().
struct Verdict {
    Decision decision = Decision::NoAction;
    Cause cause = Cause::None;
    float evidence = 0; // nats
};

} // namespace coriandergate::health
