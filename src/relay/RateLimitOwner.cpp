#include "relay/RateLimitOwner.h"

#include "base/Error.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "relay/EntryContext.h"
#include "relay/PeerMessages.h"

namespace coriandergate::relay {

auto RateLimitOwner::handle(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    const auto answerWith = [&exchange](int status, const std::string& body) {
        exchange->answer(http::makeAnswer(status, "text/plain", body));
    };
    const auto now = SuspendAwareClock::now();
    Error reason;
    const auto ask = decodeRateLimitRequest(exchange->request().body, reason);
    if (!ask) {
        answerWith(http::statusBadRequest, reason.toText());
        return;
    }
    // A home that may have been replaced without knowing hands out nothing.
    const bool isCurrent = m_context.snapshot && m_context.configurationFreshness.isFresh(now)
        && m_context.hostListFreshness.isFresh(now);
    const bool isStopping = m_context.shutdownDeadline.has_value();
    const auto* account = isCurrent && !isStopping ? m_context.snapshot->clientAccount(ask->clientAccount) : nullptr;
    if (!account) {
        answerWith(http::statusUnavailable, "the rate isn't known here");
        return;
    }
    // Known here, since the news is fresh.
    const auto storeTime = m_context.configurationFreshness.storeTime(now).value_or(std::chrono::milliseconds { 0 });
    const auto decision = m_pool.take(*account, m_context.hostKey, storeTime, monotonicNow());
    if (decision.isGranted)
        answerWith(http::statusOk, "");
    else if (decision.turnIn)
        answerWith(http::statusTooManyRequests, encodeRetryDelay(*decision.turnIn));
    else
        answerWith(http::statusUnavailable, "not a home");
}

} // namespace coriandergate::relay
