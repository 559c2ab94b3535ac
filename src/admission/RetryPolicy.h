// Decides whether a request is retried after an attempt has ended.
//
// An idempotent request may be retried after any failed attempt, within the attempt limit, the deadline and the retry
// budget. A once-only request may be retried, within the same limits, only after an attempt that certainly did not run.
// So only idempotent requests can reach more than one target. Only the entry daemon retries; neither the library nor
// the daemon on the target's host sends a request twice.
//
//   const auto decision = decideRetry(attempt, options, budget, now);
//   if (std::holds_alternative<RetryOnOtherTarget>(decision))
//       ... // choose a target that has not been tried
//   else
//       ... // return the result of the last attempt to the caller
#pragma once

#include "admission/AttemptResult.h"
#include "admission/Deadline.h"
#include "admission/RetryBudget.h"
#include "config/Route.h"

#include <string_view>
#include <variant>

namespace coriandergate::admission {

// FinishedAttempt describes an attempt that has just ended, and its request.
struct FinishedAttempt {
    std::string_view service;
    std::string_view clientAccount;
    config::RepeatPolicy repeatPolicy = config::RepeatPolicy::OnceOnly;
    AttemptResult result = AttemptResult::MayHaveRun;
    unsigned attemptCount = 1; // attempts of the request so far, including this one
    Deadline deadline;
};

// RetryOnOtherTarget means that the request is to be sent to another target now.
struct RetryOnOtherTarget { };

// GiveUp means that the result of the last attempt is final.
struct GiveUp {
    enum class Reason {
        Completed,
        NotRepeatable, // a once-only request that may have run
        AttemptsExhausted,
        DeadlineTooShort,
        BudgetExhausted,
    };
    Reason reason = Reason::Completed;
};

using RetryDecision = std::variant<RetryOnOtherTarget, GiveUp>;

struct RetryOptions {
    unsigned maximumAttempts = 3; // per request, including hedges
    MonotonicDuration minimumRemaining = std::chrono::milliseconds(5); // no retry with less time to the deadline
};

// decideRetry() consumes a token of `budget` if and only if it returns RetryOnOtherTarget. Safe from any thread.
[[nodiscard]] auto decideRetry(const FinishedAttempt& attempt, const RetryOptions& options, RetryBudget& budget,
    MonotonicTime now) -> RetryDecision;

} // namespace coriandergate::admission
