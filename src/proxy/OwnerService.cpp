#include "proxy/OwnerService.h"

#include "config/KeyDigest.h"
#include "config/Snapshot.h"
#include "http/ConnectionProbe.h"
#include "http/Status.h"
#include "http/WorkerPool.h"
#include "member/TargetRegistry.h"
#include "proxy/OnceGate.h"
#include "proxy/ProxyContext.h"
#include "proxy/ProxyHeaders.h"

#include <utility>

namespace coriandergate::proxy {

using std::chrono::milliseconds;

namespace {

    constexpr milliseconds crashProbeTimeout { 200 };
    constexpr milliseconds crashProbeDelay { 50 };

    auto endOfAnswer(int status) -> AttemptEnd
    {
        if (status == http::statusTooManyRequests || status == http::statusUnavailable)
            return AttemptEnd::Shed;
        return status >= http::firstServerError ? AttemptEnd::ServerError : AttemptEnd::Answered;
    }

    auto endOfFailure(const http::ExchangeFailure& failure) -> AttemptEnd
    {
        if (failure.wasTimeout && failure.mayHaveRun)
            return AttemptEnd::TimedOut;
        switch (failure.stage) {
        case http::ExchangeFailure::Stage::Connect:
            return AttemptEnd::NotConnected;
        case http::ExchangeFailure::Stage::AwaitAnswer:
            return AttemptEnd::Reset;
        case http::ExchangeFailure::Stage::ReadAnswer:
            return AttemptEnd::HalfAnswer;
        case http::ExchangeFailure::Stage::Cancelled:
            return AttemptEnd::Cancelled;
        }
        return AttemptEnd::Reset;
    }

} // namespace

auto OwnerService::start(std::shared_ptr<const ProxyContext> context, OwnerRequest request, Callback done)
    -> std::shared_ptr<OwnerService>
{
    auto run = std::make_shared<OwnerService>(std::move(context), std::move(request), std::move(done));
    run->begin();
    return run;
}

OwnerService::OwnerService(std::shared_ptr<const ProxyContext> context, OwnerRequest request, Callback done)
    : m_context(std::move(context))
    , m_request(std::move(request))
    , m_done(std::move(done))
{
}

auto OwnerService::notRun(std::string step, std::string reason) const -> Refusal
{
    return { .status = http::statusUnavailable,
        .outcome = Outcome::NotRun,
        .error = { std::move(step), m_request.target, std::move(reason) },
        .retryAfter = std::nullopt,
        .mayTryOtherTarget = true };
}

auto OwnerService::begin() -> void
{
    const auto now = monotonicNow();
    m_submittedAt = now;
    const auto target = m_context->targets->find(m_request.service, m_request.target, now);
    if (!target) {
        refuse(notRun("find target", "no such target on this host"));
        return;
    }
    if (!m_context->targets->acceptsRequests(*target, now)) {
        refuse(notRun("find target", "the target is leaving"));
        return;
    }
    if (m_context->observer && m_context->observer->isEjected(m_request.service, m_request.target, now)) {
        refuse(notRun("find target", "the target is ejected"));
        return;
    }
    m_slots = target->announcement.slots;
    m_report.slots = m_slots;
    if (m_request.onceLabel.empty() || !m_context->onceGate)
        requestSlot(now);
    else
        requestPermit(now);
}

auto OwnerService::requestPermit(MonotonicTime now) -> void
{
    m_hasBegunOnce = true;
    m_context->onceGate->begin(
        m_request.onceLabel, m_request.deadline, now, [self = shared_from_this()](OnceDecision decision) -> void {
            self->m_context->workers->post(self->m_request.worker,
                [self, decision = std::move(decision)]() mutable { self->onOnceDecision(std::move(decision)); });
        });
}

auto OwnerService::onOnceDecision(OnceDecision decision) -> void
{
    if (m_phase == Phase::Done) {
        finishOnce(Outcome::NotRun, nullptr);
        return;
    }
    if (auto* kept = std::get_if<KeptAnswer>(&decision)) {
        m_hasBegunOnce = false;
        finish(OwnerAnswer { std::move(kept->answer), m_report });
        return;
    }
    if (auto* refused = std::get_if<Refusal>(&decision)) {
        m_hasBegunOnce = false;
        refuse(std::move(*refused));
        return;
    }
    requestSlot(monotonicNow());
}

auto OwnerService::finishOnce(Outcome outcome, const http::Answer* answer) -> void
{
    if (std::exchange(m_hasBegunOnce, false))
        m_context->onceGate->finish(m_request.onceLabel, outcome, answer, monotonicNow());
}

auto OwnerService::requestSlot(MonotonicTime now) -> void
{
    if (!m_context->slotGate) {
        onSlot(SlotGranted {});
        return;
    }
    const SlotRequest wanted { m_request.service, m_request.target, m_slots, m_request.clientAccount,
        m_request.deadline };
    m_ticket = m_context->slotGate->submit(wanted, now, [self = shared_from_this()](SlotDecision decision) -> void {
        self->m_context->workers->post(
            self->m_request.worker, [self, decision = std::move(decision)] { self->onSlot(decision); });
    });
}

auto OwnerService::onSlot(const SlotDecision& decision) -> void
{
    const auto now = monotonicNow();
    m_hasSlot = std::holds_alternative<SlotGranted>(decision);
    if (m_phase == Phase::Done) {
        releaseSlot(now);
        return;
    }
    m_report.queueTime = now - m_submittedAt;
    if (const auto* refused = std::get_if<Refusal>(&decision)) {
        refuse(*refused);
        return;
    }
    if (auto refused = checkBeforeTarget(now)) {
        releaseSlot(now);
        refuse(std::move(*refused));
        return;
    }
    callTarget(now);
}

auto OwnerService::checkBeforeTarget(MonotonicTime now) const -> std::optional<Refusal>
{
    if (now >= m_request.deadline) {
        auto refused = notRun("check deadline", "the deadline passed while the request waited");
        refused.status = http::statusGatewayTimeout;
        refused.mayTryOtherTarget = false;
        return refused;
    }
    if (m_request.useBy && now >= *m_request.useBy) {
        auto refused = notRun("check rate", "the request waited longer than its share of the rate was valid");
        refused.status = http::statusTooManyRequests;
        refused.mayTryOtherTarget = false;
        refused.retryAfter = milliseconds(1000);
        return refused;
    }
    if (!m_request.keyDigest.empty()) {
        if (m_context->freshnessAt(now) != config::Freshness::Current)
            return notRun("check key", "the target's host is cut off and can't tell whether the key is valid");
        const auto snapshot = m_context->snapshot();
        const auto* account = snapshot ? snapshot->keys.accountForDigest(m_request.keyDigest) : nullptr;
        if (!account || account->name != m_request.clientAccount) {
            auto refused = notRun("check key", "the key is not, or no longer, valid");
            refused.status = http::statusUnauthorized;
            refused.mayTryOtherTarget = false;
            return refused;
        }
    }
    if (m_hasBegunOnce)
        return m_context->onceGate->check(m_request.onceLabel, now);
    return std::nullopt;
}

auto OwnerService::callTarget(MonotonicTime now) -> void
{
    m_phase = Phase::Running;
    m_startedAt = now;
    if (m_context->observer)
        m_attempt = m_context->observer->began(m_request.service, m_request.target, m_slots, now);
    const auto timeLeft = std::chrono::floor<milliseconds>(m_request.deadline - now);
    auto& request = m_request.request;
    request.headers.replace(headers::deadline, std::to_string(timeLeft.count()));
    const http::Client::SendOptions options { timeLeft, m_request.maximumAnswerBytes, m_request.isOnceOnly,
        std::string(headers::requestId) };
    m_call = m_context->client(m_request.worker)
                 .send(m_request.target, request, options, [self = shared_from_this()](http::ExchangeResult result) {
                     self->onTargetResult(std::move(result));
                 });
}

auto OwnerService::onTargetResult(http::ExchangeResult result) -> void
{
    if (m_phase == Phase::Done)
        return;
    const auto now = monotonicNow();
    m_report.serviceTime = now - m_startedAt;
    if (auto* answer = std::get_if<http::Answer>(&result))
        onAnswer(std::move(*answer), now);
    else
        onFailure(std::get<http::ExchangeFailure>(result), now);
}

auto OwnerService::onAnswer(http::Answer answer, MonotonicTime now) -> void
{
    endAttempt(endOfAnswer(answer.status), now);
    releaseSlot(now);
    finish(OwnerAnswer { std::move(answer), m_report });
}

auto OwnerService::onFailure(const http::ExchangeFailure& failure, MonotonicTime now) -> void
{
    const auto end = endOfFailure(failure);
    endAttempt(end, now);
    if (failure.wasTimeout && failure.mayHaveRun)
        releaseSlotAfterGrace();
    else
        releaseSlot(now);
    const bool mayHaveCrashed = failure.wasReset && (end == AttemptEnd::Reset || end == AttemptEnd::HalfAnswer);
    if (!mayHaveCrashed) {
        refuseFailure(failure, false);
        return;
    }
    probeForCrash(failure, true);
}

// A process that ends closes its sockets one after the other: the listener may outlive the connection for a moment.
auto OwnerService::probeForCrash(const http::ExchangeFailure& failure, bool mayProbeAgain) -> void
{
    http::probeConnection(
        m_request.target, crashProbeTimeout, [self = shared_from_this(), failure, mayProbeAgain](bool isRefused) {
            if (isRefused || !mayProbeAgain)
                self->refuseFailure(failure, isRefused);
            else
                self->m_context->workers->postAfter(
                    self->m_request.worker, crashProbeDelay, [self, failure] { self->probeForCrash(failure, false); });
        });
}

auto OwnerService::refuseFailure(const http::ExchangeFailure& failure, bool hasCrashed) -> void
{
    if (m_phase == Phase::Done)
        return;
    m_report.hasTargetCrashed = hasCrashed;
    Refusal refusal;
    refusal.status = failure.wasTimeout ? http::statusGatewayTimeout : http::statusBadGateway;
    refusal.outcome = failure.mayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun;
    refusal.error = failure.error;
    refusal.mayTryOtherTarget = true;
    refuse(std::move(refusal));
}

auto OwnerService::endAttempt(AttemptEnd end, MonotonicTime now) -> void
{
    if (const auto attempt = std::exchange(m_attempt, std::nullopt))
        m_context->observer->ended(*attempt, m_request.service, m_request.target, end, now);
}

auto OwnerService::releaseSlot(MonotonicTime now) -> void
{
    if (!std::exchange(m_hasSlot, false) || !m_context->slotGate || !m_ticket)
        return;
    m_context->slotGate->release(*m_ticket, m_report.serviceTime, now);
}

// The target may go on for a moment after its connection was closed; until then its slot isn't free.
auto OwnerService::releaseSlotAfterGrace() -> void
{
    m_context->workers->postAfter(
        m_request.worker, m_context->cancelGrace, [self = shared_from_this()] { self->releaseSlot(monotonicNow()); });
}

auto OwnerService::cancel() -> void
{
    if (m_phase == Phase::Done)
        return;
    const auto now = monotonicNow();
    const bool wasRunning = m_phase == Phase::Running;
    m_done = nullptr;
    if (wasRunning && m_hasBegunOnce)
        return;
    m_phase = Phase::Done;
    if (!wasRunning) {
        if (m_ticket) // else the OnceGate's decision is still to come, and is answered then
            finishOnce(Outcome::NotRun, nullptr);
        if (m_ticket && m_context->slotGate)
            m_context->slotGate->cancel(*m_ticket, now);
        return;
    }
    m_context->client(m_request.worker).cancel(m_call);
    m_report.serviceTime = now - m_startedAt;
    endAttempt(AttemptEnd::Cancelled, now);
    releaseSlotAfterGrace();
}

auto OwnerService::refuse(Refusal refusal) -> void { finish(OwnerRefusal { std::move(refusal), m_report }); }

auto OwnerService::finish(OwnerResult result) -> void
{
    m_phase = Phase::Done;
    if (const auto* answered = std::get_if<OwnerAnswer>(&result))
        finishOnce(Outcome::Ran, &answered->answer);
    else
        finishOnce(std::get<OwnerRefusal>(result).refusal.outcome, nullptr);
    if (m_context->slotGate) {
        const auto load = m_context->slotGate->load(m_request.service, m_request.target);
        auto& report = std::holds_alternative<OwnerAnswer>(result) ? std::get<OwnerAnswer>(result).report
                                                                   : std::get<OwnerRefusal>(result).report;
        report.busySlots = load.busySlots;
        report.waiting = load.waiting;
    }
    if (auto done = std::exchange(m_done, nullptr))
        done(std::move(result));
}

} // namespace coriandergate::proxy
