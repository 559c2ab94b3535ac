#include "relay/EntryRequest.h"

#include "http/Answer.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "relay/CallerResponse.h"
#include "relay/RateLimitCheck.h"
#include "relay/RequestForwarding.h"

#include <utility>

namespace coriandergate::relay {

auto EntryRequest::start(EntryContext& context, std::shared_ptr<http::Exchange> exchange) -> void
{
    const auto request = std::make_shared<EntryRequest>(context, std::move(exchange));
    request->m_request->exchange->onAbandoned([weak = std::weak_ptr(request)] {
        if (const auto self = weak.lock())
            self->onCallerDisconnected();
    });
    const auto readyBy = context.startedAt + context.options.startupWait;
    if (!context.isReady && monotonicNow() < readyBy)
        request->waitUntilReady(readyBy);
    else
        request->begin();
}

auto EntryRequest::waitUntilReady(MonotonicTime until) -> void
{
    m_context.pendingRequests.push_back(weak_from_this());
    m_readyTimer.expires_at(until);
    m_readyTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->begin();
    });
}

EntryRequest::EntryRequest(EntryContext& context, std::shared_ptr<http::Exchange> exchange)
    : m_context(context)
    , m_openRequests(context.openRequests)
    , m_request(std::make_shared<CallerRequest>(context, std::move(exchange)))
    , m_deadlineTimer(context.io)
    , m_readyTimer(context.io)
{
}

EntryRequest::~EntryRequest() { m_openRequests->erase(this); }

auto EntryRequest::begin() -> void
{
    if (m_isDone || m_hasBegun)
        return;
    m_hasBegun = true;
    m_readyTimer.cancel();
    auto& admitted = m_request->admitted;
    if (const auto refusal = admitRequest(
            m_context, m_request->exchange->request(), m_request->receivedAt, SuspendAwareClock::now(), admitted)) {
        refuse(*refusal);
        return;
    }
    (*m_openRequests)[this] = weak_from_this();
    m_forwarding = std::make_shared<RequestForwarding>(
        m_request, [weak = weak_from_this()](http::Answer response, std::string_view why) {
            const auto self = weak.lock();
            if (self && !self->m_isDone)
                self->finish(std::move(response), why);
        });
    armDeadlineTimer();
    checkRateLimit();
}

// The timer keeps the request alive until it has responded.
auto EntryRequest::armDeadlineTimer() -> void
{
    m_deadlineTimer.expires_at(m_request->admitted.deadline);
    m_deadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->onDeadline();
    });
}

auto EntryRequest::capDeadline(MonotonicTime time) -> void
{
    if (m_isDone || m_request->admitted.deadline <= time)
        return;
    m_request->admitted.deadline = time;
    armDeadlineTimer();
}

auto EntryRequest::checkRateLimit() -> void
{
    const auto& admitted = m_request->admitted;
    const auto* account = admitted.clientAccount;
    if (!account || account->isUnlimited) {
        m_forwarding->start();
        return;
    }
    m_rateLimitCheck = RateLimitCheck::start(m_context,
        { .account = { admitted.snapshot, account },
            .requestId = m_request->id,
            .timeLeft = admitted.timeLeft(monotonicNow()) },
        [weak = weak_from_this()](const dispatch::AccountRateLimiter::Decision& decision) {
            const auto self = weak.lock();
            if (self && !self->m_isDone)
                self->onRateLimitDecision(decision);
        });
}

auto EntryRequest::onRateLimitDecision(const dispatch::AccountRateLimiter::Decision& decision) -> void
{
    if (decision.isGranted)
        m_forwarding->start();
    else if (decision.retryAfter)
        refuse({ http::statusTooManyRequests, "over the rate", decision.retryAfter });
    else
        refuse({ http::statusUnavailable, "the rate can't be checked", m_context.options.rateLimitOwnerBackoff });
}

auto EntryRequest::endRateLimitCheck() -> void
{
    if (m_rateLimitCheck)
        std::exchange(m_rateLimitCheck, nullptr)->cancel();
}

auto EntryRequest::onDeadline() -> void
{
    if (m_isDone)
        return;
    endRateLimitCheck();
    m_forwarding->endByDeadline();
}

auto EntryRequest::cancel() -> void
{
    m_isDone = true;
    endRateLimitCheck();
    if (m_forwarding)
        m_forwarding->cancel();
    m_deadlineTimer.cancel();
    m_readyTimer.cancel();
}

auto EntryRequest::onCallerDisconnected() -> void
{
    if (m_isDone)
        return;
    cancel();
    recordCallerLeft(m_context, makeEnd(0, callerLeftReason), SuspendAwareClock::now());
}

auto EntryRequest::refuse(const RequestRefusal& refusal) -> void
{
    finish(makeRefusal(m_context, refusal), refusal.reason);
}

auto EntryRequest::makeEnd(int status, std::string_view why) const -> EndOfRequest
{
    return { .admitted = m_request->admitted,
        .requestId = m_request->id,
        .service = m_request->service,
        .status = status,
        .reason = why,
        .latency = m_request->latency(monotonicNow()),
        .attempts = m_request->history.attempts,
        .rejections = m_request->search.rejections() };
}

auto EntryRequest::finish(http::Answer response, std::string_view why) -> void
{
    m_isDone = true;
    m_deadlineTimer.cancel();
    m_readyTimer.cancel();
    endRateLimitCheck();
    const auto& id = m_request->id;
    recordEnd(m_context, makeEnd(response.status, why), SuspendAwareClock::now());
    if (!id.empty() && !response.headers.find(m_context.headers.requestId))
        response.headers.add(m_context.headers.requestId, id);
    m_request->exchange->answer(std::move(response));
}

} // namespace coriandergate::relay
