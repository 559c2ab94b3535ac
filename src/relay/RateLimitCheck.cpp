#include "relay/RateLimitCheck.h"

#include "config/ClientAccount.h"
#include "dispatch/RateLimitOwners.h"
#include "fleet/HostDirectory.h"
#include "http/Status.h"
#include "relay/AttemptEvent.h"
#include "relay/EntryContext.h"
#include "relay/PeerMessages.h"

#include <algorithm>

namespace coriandergate::relay {

using std::chrono::milliseconds;

auto RateLimitCheck::start(EntryContext& context, Request request, Callback callback) -> std::shared_ptr<RateLimitCheck>
{
    const auto check = std::make_shared<RateLimitCheck>(context, std::move(request), std::move(callback));
    check->chooseOwners();
    check->askNext();
    return check;
}

RateLimitCheck::RateLimitCheck(EntryContext& context, Request request, Callback callback)
    : m_context(context)
    , m_request(std::move(request))
    , m_deadline(monotonicNow() + m_request.timeLeft)
    , m_callback(std::move(callback))
{
}

auto RateLimitCheck::chooseOwners() -> void
{
    const auto now = monotonicNow();
    // The store's time is known because the configuration was found fresh before the check began. With time 0 every
    // host would count as newly joined, and new hosts would not be left out.
    const auto storeTime
        = m_context.configurationFreshness.storeTime(SuspendAwareClock::now()).value_or(milliseconds { 0 });
    std::vector<std::string> localOwners;
    for (const auto& [region, hosts] : m_context.directory.rateLimitHosts()) {
        for (const auto& owner : dispatch::rateLimitOwners(m_request.account->name, hosts, storeTime)) {
            if (!isExhausted(owner, now) && !isAvoided(owner, now))
                (region == m_context.locality.region ? localOwners : m_owners).push_back(owner);
        }
    }
    // Owners are asked from the back: the local ones first, then one of another region.
    if (m_owners.size() > 1)
        m_owners = { m_owners[m_context.random() % m_owners.size()] };
    std::shuffle(localOwners.begin(), localOwners.end(), m_context.random);
    m_owners.insert(m_owners.end(), localOwners.begin(), localOwners.end());
}

auto RateLimitCheck::isExhausted(const std::string& owner, MonotonicTime now) -> bool
{
    const auto exhausted = m_context.rateExhaustedUntil.find(m_request.account->name + '@' + owner);
    if (exhausted == m_context.rateExhaustedUntil.end() || now >= exhausted->second)
        return false;
    recordRetryAfter(std::chrono::ceil<milliseconds>(exhausted->second - now));
    return true;
}

auto RateLimitCheck::isAvoided(const std::string& owner, MonotonicTime now) const -> bool
{
    const auto avoided = m_context.rateLimitOwnerAvoidedUntil.find(owner);
    return avoided != m_context.rateLimitOwnerAvoidedUntil.end() && now < avoided->second;
}

auto RateLimitCheck::recordRetryAfter(milliseconds retryAfter) -> void
{
    m_retryAfter = std::min(m_retryAfter.value_or(retryAfter), retryAfter);
}

auto RateLimitCheck::askNext() -> void
{
    const fleet::HostRecord* record = nullptr;
    std::string owner;
    while (!record && !m_owners.empty()) {
        owner = std::move(m_owners.back());
        m_owners.pop_back();
        record = m_context.directory.find(owner);
    }
    if (!record) {
        finish({ .isGranted = false, .retryAfter = m_retryAfter });
        return;
    }
    const bool isOtherRegion = record->locality.region != m_context.locality.region;
    const auto timeout
        = isOtherRegion ? m_context.options.crossRegionRateLimitTimeout : m_context.options.rateLimitTimeout;
    const auto timeLeft = std::chrono::duration_cast<milliseconds>(m_deadline - monotonicNow());
    m_call = m_context.peerClient.send(record->peerAddress, encodeRateLimitRequest({ m_request.account->name }),
        { .timeout = std::min(timeout, std::max(timeLeft, milliseconds { 1 })) },
        [self = shared_from_this(), owner](const net::HttpClient::Result& result) { self->onResponse(owner, result); });
}

auto RateLimitCheck::onResponse(const std::string& owner, const net::HttpClient::Result& result) -> void
{
    m_call = 0;
    if (!m_callback)
        return;
    const auto now = monotonicNow();
    const auto* response = std::get_if<http::Answer>(&result);
    if (response && response->status == http::statusOk) {
        finish({ .isGranted = true, .retryAfter = std::nullopt });
        return;
    }
    const auto retryAfter
        = response && response->status == http::statusTooManyRequests ? decodeRetryAfter(response->body) : std::nullopt;
    if (retryAfter) {
        log::logEvent(attemptEnded,
            { { "request", m_request.requestId }, { "peer", owner }, { "step", "ask for rate" },
                { "outcome", "not-run" }, { "why", "over the rate" }, { "account", m_request.account->name },
                { "rate", std::to_string(m_request.account->ratePerSecond) },
                { "turn-in-ms", std::to_string(retryAfter->count()) } });
        m_context.rateExhaustedUntil[m_request.account->name + '@' + owner] = now + *retryAfter;
        recordRetryAfter(*retryAfter);
    } else {
        m_context.rateLimitOwnerAvoidedUntil[owner] = now + m_context.options.rateLimitOwnerBackoff;
        const auto* failure = std::get_if<http::ExchangeFailure>(&result);
        log::logEvent(attemptEnded,
            { { "request", m_request.requestId }, { "peer", owner }, { "step", "ask for rate" },
                { "outcome", "not-run" },
                { "why", failure ? failure->error.toText() : "the rate limit owner gave no decision" } });
    }
    askNext();
}

auto RateLimitCheck::finish(const dispatch::AccountRateLimiter::Decision& decision) -> void
{
    const auto callback = std::exchange(m_callback, nullptr);
    callback(decision);
}

auto RateLimitCheck::cancel() -> void
{
    m_callback = nullptr;
    m_owners.clear();
    if (m_call != 0)
        m_context.peerClient.cancel(std::exchange(m_call, 0));
}

} // namespace coriandergate::relay
