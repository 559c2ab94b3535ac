// Decides whether a request is sent once more, after an attempt ended or while one is slow.
//
// Exactly these requests may reach a target more than once:
//   - an idempotent one, whatever became of the attempt before, within the budget, the attempts and the deadline.
// A once-only request may be sent again only after an attempt that definitely did not run it; then no target has seen
// it. Nobody but the entry daemon decides this, and nothing below it (library or daemon) sends twice.
//
//   switch over std::visit(..., decideRetry(attempt, options, budget, now)):
//     RetryOnOtherTarget -> choose a target that is not among those tried
//     GiveUp         -> answer the caller with the result of the last attempt
#pragma once

#include "admission/AttemptResult.h"
#include "admission/Deadline.h"
#include "admission/RetryBudget.h"
#include "config/Route.h"

#include <string_view>
#include <variant>

namespace coriandergate::admission {

// FinishedAttempt describes the attempt that just ended, and its request.
struct FinishedAttempt {
    std::string_view service;
    std::string_view clientAccount;
    config::RepeatPolicy repeatPolicy = config::RepeatPolicy::OnceOnly;
    AttemptResult result = AttemptResult::MayHaveRun;
    unsigned attemptCount = 1; // made so far, this one included
    Deadline deadline;
};

// RetryOnOtherTarget: send the request to another target now.
struct RetryOnOtherTarget { };

// GiveUp: the last attempt's result stands.
struct GiveUp {
    enum class Reason {
        Completed,
        NotRepeatable,
        AttemptsExhausted,
        DeadlineTooShort,
        BudgetExhausted,
    };
    Reason reason = Reason::Completed;
};

using RetryDecision = std::variant<RetryOnOtherTarget, GiveUp>;

struct RetryOptions {
    unsigned maximumAttempts = 3; // a request, hedges included
    MonotonicDuration minimumRemaining = std::chrono::milliseconds(5); // time without which no attempt is begun
};

// decideRetry() takes a token from `budget` when, and only when, it answers RetryOnOtherTarget. Safe from any thread.
[[nodiscard]] auto decideRetry(const FinishedAttempt& attempt, const RetryOptions& options, RetryBudget& budget,
    MonotonicTime now) -> RetryDecision;

} // namespace coriandergate::admission
