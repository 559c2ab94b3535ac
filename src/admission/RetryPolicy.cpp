#include "admission/RetryPolicy.h"

namespace coriandergate::admission {

namespace {

    auto mayRepeat(const FinishedAttempt& attempt) -> bool
    {
        return attempt.repeatPolicy == config::RepeatPolicy::Idempotent || attempt.result == AttemptResult::NotRun;
    }

} // namespace

auto decideRetry(const FinishedAttempt& attempt, const RetryOptions& options, RetryBudget& budget, MonotonicTime now)
    -> RetryDecision
{
    if (attempt.result == AttemptResult::Answered)
        return GiveUp { GiveUp::Reason::Answered };
    if (!mayRepeat(attempt))
        return GiveUp { GiveUp::Reason::MustNotRepeat };
    if (attempt.attempts >= options.maximumAttempts)
        return GiveUp { GiveUp::Reason::AttemptsUsed };
    if (attempt.deadline.remaining(now) < options.leastRemaining)
        return GiveUp { GiveUp::Reason::DeadlineTooShort };
    if (!budget.takeAttempt(attempt.service, attempt.clientAccount))
        return GiveUp { GiveUp::Reason::BudgetEmpty };
    return RetryElsewhere {};
}

} // namespace coriandergate::admission
