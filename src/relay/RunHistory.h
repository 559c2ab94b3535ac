// What the attempts of one request came to so far, which decides what its caller may be told.
//
//   if (history.attempts++ > 0) ++counters.retries;
//   if (history.mayHaveRun) fail(http::statusBadGateway, ...); else refuse(...);
#pragma once

#include "http/Answer.h"

#include <cstddef>
#include <optional>

namespace coriandergate::relay {

// RunHistory is a plain struct.
struct RunHistory {
    std::size_t attempts = 0; // sent, except those that certainly did not reach a target
    bool hasUnusedRetry = false; // charged to the retry budget, but its attempt did not reach a target
    bool mayHaveRun = false; // a target may have executed the request
    std::optional<http::Answer> lastErrorResponse; // the last 5xx that a target itself sent

    // undoAttempt() takes back an attempt that did not reach the target. Its charge on the retry budget, if there was
    // one, covers the next attempt. Returns whether it was a retry.
    auto undoAttempt() -> bool
    {
        --attempts;
        hasUnusedRetry = attempts > 0;
        return hasUnusedRetry;
    }
};

} // namespace coriandergate::relay
