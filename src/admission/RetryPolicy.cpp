#include "admission/RetryPolicy.h"

namespace coriandergate::admission {

namespace {

    auto isRepeatable(const FinishedAttempt& attempt) -> bool
    {
        return attempt.repeatPolicy == config::RepeatPolicy::Idempotent || attempt.result == AttemptResult::NotRun;
    }

} // namespace

auto decideRetry(const FinishedAttempt& attempt, const RetryOptions& options, RetryBudget& budget, MonotonicTime now)
    -> RetryDecision
{
    if (attempt.result == AttemptResult::Completed)
        return GiveUp { GiveUp::Reason::Completed };
    if (!isRepeatable(attempt))
        return GiveUp { GiveUp::Reason::NotRepeatable };
    if (attempt.attemptCount >= options.maximumAttempts)
        return GiveUp { GiveUp::Reason::AttemptsExhausted };
    if (attempt.deadline.remaining(now) < options.minimumRemaining)
        return GiveUp { GiveUp::Reason::DeadlineTooShort };
    if (!budget.tryConsumeToken(attempt.service, attempt.clientAccount))
        return GiveUp { GiveUp::Reason::BudgetExhausted };
    return RetryOnOtherTarget {};
}

} // namespace coriandergate::admission
