#include "relay/RateLimitOwner.h"

#include "base/Error.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "relay/EntryContext.h"
#include "relay/PeerMessages.h"

namespace coriandergate::relay {

auto RateLimitOwner::handle(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    const auto respond = [&exchange](int status, const std::string& body) {
        exchange->answer(http::makeAnswer(status, "text/plain", body));
    };
    const auto now = SuspendAwareClock::now();
    Error reason;
    const auto request = decodeRateLimitRequest(exchange->request().body, reason);
    if (!request) {
        respond(http::statusBadRequest, reason.toText());
        return;
    }
    // Without fresh data another host may have become the owner in the meantime, so nothing is granted.
    const bool isFresh = m_context.snapshot && m_context.configurationFreshness.isFresh(now)
        && m_context.hostListFreshness.isFresh(now);
    const bool isStopping = m_context.shutdownDeadline.has_value();
    const auto* account = isFresh && !isStopping ? m_context.snapshot->clientAccount(request->clientAccount) : nullptr;
    if (!account) {
        respond(http::statusUnavailable, "the rate limit of this account can't be decided here");
        return;
    }
    // The store's time is known because the configuration is fresh.
    const auto storeTime = m_context.configurationFreshness.storeTime(now).value_or(std::chrono::milliseconds { 0 });
    const auto decision = m_limiter.tryAcquire(*account, m_context.hostKey, storeTime, monotonicNow());
    if (decision.isGranted)
        respond(http::statusOk, "");
    else if (decision.retryAfter)
        respond(http::statusTooManyRequests, encodeRetryAfter(*decision.retryAfter));
    else
        respond(http::statusUnavailable, "this host is not yet, or no longer, an owner of this rate limit");
}

} // namespace coriandergate::relay
