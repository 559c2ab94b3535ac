#include "relay/RateHome.h"

#include "base/Error.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "relay/EntryContext.h"
#include "relay/HopMessages.h"

namespace coriandergate::relay {

auto RateHome::answer(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    const auto answerWith = [&exchange](int status, const std::string& body) {
        exchange->answer(http::makeAnswer(status, "text/plain", body));
    };
    const auto now = SuspendAwareClock::now();
    Error reason;
    const auto ask = decodeRate(exchange->request().body, reason);
    if (!ask) {
        answerWith(http::statusBadRequest, reason.toText());
        return;
    }
    // A home that may have been replaced without knowing hands out nothing.
    const bool isCurrent = m_context.snapshot && m_context.proof.isFresh(now) && m_context.hostsProof.isFresh(now);
    const bool isStopping = m_context.endBy.has_value();
    const auto* account = isCurrent && !isStopping ? m_context.snapshot->clientAccount(ask->clientAccount) : nullptr;
    if (!account) {
        answerWith(http::statusUnavailable, "the rate isn't known here");
        return;
    }
    // Known here, since the news is fresh.
    const auto storeTime = m_context.proof.storeTime(now).value_or(std::chrono::milliseconds { 0 });
    const auto decision = m_pool.tryAcquire(*account, m_context.self, storeTime, monotonicNow());
    if (decision.isGranted)
        answerWith(http::statusOk, "");
    else if (decision.retryAfter)
        answerWith(http::statusTooManyRequests, encodeTurn(*decision.retryAfter));
    else
        answerWith(http::statusUnavailable, "not a home");
}

} // namespace coriandergate::relay
