#include "daemon/BudgetRetryGate.h"

#include "proxy/Refusal.h"
#include "proxy/RequestContext.h"

namespace coriandergate::daemon {

BudgetRetryGate::BudgetRetryGate(Options options)
    : m_options(options)
    , m_budget(options.budget)
{
}

auto BudgetRetryGate::began(const proxy::RequestContext& context, MonotonicTime) -> void
{
    ++m_requests;
    m_budget.recordRequest(context.route.service, context.clientAccount);
}

auto BudgetRetryGate::mayRetry(
    const proxy::RequestContext& context, const proxy::Refusal& refusal, int attempts, MonotonicTime now) -> bool
{
    const auto isNotRun = refusal.outcome == proxy::Outcome::NotRun;
    const admission::FinishedAttempt attempt { context.route.service, context.clientAccount, context.route.repeatPolicy,
        isNotRun ? admission::AttemptResult::NotRun : admission::AttemptResult::MayHaveRun,
        static_cast<unsigned>(attempts), admission::Deadline(context.deadline) };
    const auto decision = admission::decideRetry(attempt, m_options.retry, m_budget, now);
    if (std::holds_alternative<admission::RetryOnOtherTarget>(decision)) {
        ++m_retries;
        return true;
    }
    if (std::get<admission::GiveUp>(decision).reason == admission::GiveUp::Reason::BudgetExhausted)
        ++m_refusedRetries;
    return false;
}

} // namespace coriandergate::daemon
