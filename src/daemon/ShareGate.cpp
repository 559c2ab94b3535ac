#include "daemon/ShareGate.h"

#include "base/Error.h"
#include "config/Snapshot.h"
#include "http/Status.h"
#include "proxy/ProxyContext.h"
#include "proxy/RequestContext.h"
#include "rpc/RpcClient.h"
#include "seat/SeatDirectory.h"
#include "share/BucketLimits.h"
#include "share/TokenMessageCodec.h"
#include "share/TokenServer.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <prometheus/counter.h>
#include <prometheus/registry.h>

namespace coriandergate::daemon {

namespace {

    constexpr std::chrono::seconds cleanUpInterval { 5 };

    auto addCounter(prometheus::Registry& registry, const char* name, const char* help) -> prometheus::Counter&
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
    }

} // namespace

ShareGate::ShareGate(Parts parts)
    : m_parts(std::move(parts))
    , m_holder(m_parts.context->self, *m_parts.directory, m_parts.options)
    , m_granted(addCounter(*m_parts.metrics, "coriandergate_share_granted_total", "Requests let pass by rate"))
    , m_refused(addCounter(*m_parts.metrics, "coriandergate_share_refused_total", "Requests refused by rate"))
    , m_waited(addCounter(*m_parts.metrics, "coriandergate_share_waited_total", "Requests that waited for a token"))
    , m_asks(
          addCounter(*m_parts.metrics, "coriandergate_share_asks_total", "Messages that ask other daemons for tokens"))
{
}

auto ShareGate::acquire(const proxy::RequestContext& context, MonotonicTime now, Decided decided) -> void
{
    const auto snapshot = m_parts.context->snapshot();
    const auto* const account = snapshot ? snapshot->clientAccount(context.clientAccount) : nullptr;
    const auto limits = account ? share::bucketLimitsFor(account->ratePerSecond, account->burst, m_parts.options)
                                : share::BucketLimits {};
    const auto decision = m_holder.acquire(context.clientAccount, limits, now);
    const auto* const waiting = std::get_if<share::TokenPending>(&decision);
    if (!waiting) {
        decide(context.clientAccount, decision, decided);
        return;
    }
    m_waited.Increment();
    std::optional<share::TokenDecision> settled;
    {
        const MutexLock lock(m_mutex);
        const auto early = m_early.find(waiting->ticket);
        if (early != m_early.end()) {
            settled = early->second;
            m_early.erase(early);
        } else {
            m_waiting.emplace(waiting->ticket, Waiting { context.clientAccount, decided });
        }
    }
    if (settled)
        decide(context.clientAccount, *settled, decided);
    else
        sendAsks(now);
}

auto ShareGate::tick(MonotonicTime now) -> void
{
    settle(m_holder.processTimers(now));
    sendAsks(now);
    if (now < m_nextCleanUp)
        return;
    m_nextCleanUp = now + cleanUpInterval;
    m_holder.removeIdleAccounts(now);
    m_parts.home->removeFullBuckets(now);
}

auto ShareGate::sendAsks(MonotonicTime now) -> void
{
    for (const auto& ask : m_holder.takeTokenRequests(now)) {
        if (ask.to == m_parts.context->self) {
            settle(m_holder.handleResponse(m_parts.home->handleRequest(ask, now), now));
            continue;
        }
        m_asks.Increment();
        m_parts.calls->call(ask.to.address, shareAskMethod, { { "ask", share::encodeTokenRequest(ask) } },
            m_parts.options.maximumWait, [weak = weak_from_this()](const rpc::RpcResult& result) {
                const auto self = weak.lock();
                const auto* const answer = std::get_if<nlohmann::json>(&result);
                // An ask that failed is given up by the time that has passed.
                if (!self || !answer || !answer->contains("grant") || !(*answer)["grant"].is_string())
                    return;
                Error reason;
                if (const auto grant = share::decodeTokenResponse((*answer)["grant"].get<std::string>(), reason))
                    self->settle(self->m_holder.handleResponse(*grant, monotonicNow()));
            });
    }
}

auto ShareGate::settle(const std::vector<share::DeferredDecision>& settlements) -> void
{
    for (const auto& [ticket, decision] : settlements) {
        Waiting waiting;
        {
            const MutexLock lock(m_mutex);
            const auto found = m_waiting.find(ticket);
            if (found == m_waiting.end()) {
                m_early.emplace(ticket, decision);
                continue;
            }
            waiting = std::move(found->second);
            m_waiting.erase(found);
        }
        decide(waiting.account, decision, waiting.decided);
    }
}

auto ShareGate::decide(const std::string& account, const share::TokenDecision& decision, const Decided& decided) -> void
{
    if (const auto* const granted = std::get_if<share::TokenGranted>(&decision)) {
        m_granted.Increment();
        decided(proxy::RateGranted { granted->expiresAt });
        return;
    }
    m_refused.Increment();
    const auto& refused = std::get<share::TokenRefused>(decision);
    const auto* const reason = refused.isOverLimit ? "the client account is above its rate and burst"
                                                   : "no daemon that counts the client account's requests answered";
    decided(proxy::Refusal { .status = refused.isOverLimit ? http::statusTooManyRequests : http::statusUnavailable,
        .outcome = proxy::Outcome::NotRun,
        .error = { "acquire rate", account, reason },
        .retryAfter = refused.retryAfter,
        .mayTryOtherTarget = false });
}

} // namespace coriandergate::daemon
