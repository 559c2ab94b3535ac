// The result of one attempt to run a request on a target.
#pragma once

namespace coriandergate::admission {

// AttemptResult says whether the target ran the request, as far as is known. Retry decisions are based on it.
enum class AttemptResult {
    NotRun, // certain: no connection was made, or the daemon on the target's host reported it
    MayHaveRun, // the request was sent, but no complete response arrived
    Failed, // a complete response reports a failure of the target (502, 503, 504)
    Completed, // any other complete response
};

} // namespace coriandergate::admission
