#include "relay/RateLimitCheck.h"

#include "config/ClientAccount.h"
#include "dispatch/RateHomes.h"
#include "fleet/HostDirectory.h"
#include "http/Status.h"
#include "relay/AttemptEvent.h"
#include "relay/EntryContext.h"
#include "relay/PeerMessages.h"

#include <algorithm>

namespace coriandergate::relay {

using std::chrono::milliseconds;

auto RateLimitCheck::start(EntryContext& context, Request request, Done done) -> std::shared_ptr<RateLimitCheck>
{
    const auto check = std::make_shared<RateLimitCheck>(context, std::move(request), std::move(done));
    check->chooseHomes();
    check->askNext();
    return check;
}

RateLimitCheck::RateLimitCheck(EntryContext& context, Request request, Done done)
    : m_context(context)
    , m_request(std::move(request))
    , m_endsAt(monotonicNow() + m_request.timeLeft)
    , m_done(std::move(done))
{
}

auto RateLimitCheck::chooseHomes() -> void
{
    const auto now = monotonicNow();
    // Known here, since the news was found fresh; else every host would count as new, and none be left out.
    const auto storeTime
        = m_context.configurationFreshness.storeTime(SuspendAwareClock::now()).value_or(milliseconds { 0 });
    std::vector<std::string> near;
    for (const auto& [region, hosts] : m_context.directory.rateHosts()) {
        for (const auto& home : dispatch::rateHomes(m_request.account.name, hosts, storeTime)) {
            if (!isSpent(home, now) && !isAvoided(home, now))
                (region == m_context.locality.region ? near : m_homes).push_back(home);
        }
    }
    // The last one is asked first.
    if (m_homes.size() > 1)
        m_homes = { m_homes[m_context.random() % m_homes.size()] };
    std::shuffle(near.begin(), near.end(), m_context.random);
    m_homes.insert(m_homes.end(), near.begin(), near.end());
}

auto RateLimitCheck::isSpent(const std::string& home, MonotonicTime now) -> bool
{
    const auto spent = m_context.rateExhaustedUntil.find(m_request.account.name + '@' + home);
    if (spent == m_context.rateExhaustedUntil.end() || now >= spent->second)
        return false;
    noteTurn(std::chrono::ceil<milliseconds>(spent->second - now));
    return true;
}

auto RateLimitCheck::isAvoided(const std::string& home, MonotonicTime now) const -> bool
{
    const auto avoided = m_context.rateLimitOwnerAvoidedUntil.find(home);
    return avoided != m_context.rateLimitOwnerAvoidedUntil.end() && now < avoided->second;
}

auto RateLimitCheck::noteTurn(milliseconds turnIn) -> void { m_turnIn = std::min(m_turnIn.value_or(turnIn), turnIn); }

auto RateLimitCheck::askNext() -> void
{
    const fleet::HostRecord* record = nullptr;
    std::string home;
    while (!record && !m_homes.empty()) {
        home = std::move(m_homes.back());
        m_homes.pop_back();
        record = m_context.directory.find(home);
    }
    if (!record) {
        end({ .isGranted = false, .turnIn = m_turnIn });
        return;
    }
    const bool isFar = record->locality.region != m_context.locality.region;
    const auto peerTimeout = isFar ? m_context.options.crossRegionRateLimitTimeout : m_context.options.rateLimitTimeout;
    const auto left = std::chrono::duration_cast<milliseconds>(m_endsAt - monotonicNow());
    m_call = m_context.peerClient.send(record->peerAddress, encodeRateLimitRequest({ m_request.account.name }),
        { .timeout = std::min(peerTimeout, std::max(left, milliseconds { 1 })) },
        [self = shared_from_this(), home](const net::HttpClient::Result& result) { self->onAnswer(home, result); });
}

auto RateLimitCheck::onAnswer(const std::string& home, const net::HttpClient::Result& result) -> void
{
    m_call = 0;
    if (!m_done)
        return;
    const auto now = monotonicNow();
    const auto* answer = std::get_if<http::Answer>(&result);
    if (answer && answer->status == http::statusOk) {
        end({ .isGranted = true, .turnIn = std::nullopt });
        return;
    }
    const auto turnIn
        = answer && answer->status == http::statusTooManyRequests ? decodeRetryDelay(answer->body) : std::nullopt;
    if (turnIn) {
        log::logEvent(attemptEnded,
            { { "request", m_request.requestId }, { "peer", home }, { "step", "ask for rate" },
                { "outcome", "not-run" }, { "why", "over the rate" }, { "account", m_request.account.name },
                { "rate", std::to_string(m_request.account.ratePerSecond) },
                { "turn-in-ms", std::to_string(turnIn->count()) } });
        m_context.rateExhaustedUntil[m_request.account.name + '@' + home] = now + *turnIn;
        noteTurn(*turnIn);
    } else {
        m_context.rateLimitOwnerAvoidedUntil[home] = now + m_context.options.rateLimitOwnerBackoff;
        const auto* failure = std::get_if<http::ExchangeFailure>(&result);
        log::logEvent(attemptEnded,
            { { "request", m_request.requestId }, { "peer", home }, { "step", "ask for rate" },
                { "outcome", "not-run" }, { "why", failure ? failure->error.toText() : "the home can't tell" } });
    }
    askNext();
}

auto RateLimitCheck::end(const dispatch::RatePool::Decision& decision) -> void
{
    const auto done = std::exchange(m_done, nullptr);
    done(decision);
}

auto RateLimitCheck::cancel() -> void
{
    m_done = nullptr;
    m_homes.clear();
    if (m_call != 0)
        m_context.peerClient.cancel(std::exchange(m_call, 0));
}

} // namespace coriandergate::relay
