#include "relay/RequestForwarding.h"

#include "dispatch/RunningPriorities.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "relay/CallerRequest.h"
#include "relay/CallerResponse.h"
#include "relay/EntryContext.h"
#include "relay/RetryGate.h"
#include "relay/SecondAttempt.h"

#include <utility>

namespace coriandergate::relay {

using std::chrono::milliseconds;

RequestForwarding::RequestForwarding(std::shared_ptr<CallerRequest> request, EndCallback onEnded)
    : m_request(std::move(request))
    , m_context(m_request->context)
    , m_onEnded(std::move(onEnded))
    , m_pauseTimer(m_context.io)
    , m_retryGate(std::make_shared<RetryGate>(m_request))
{
}

RequestForwarding::~RequestForwarding() = default;

auto RequestForwarding::start() -> void
{
    m_secondAttempt = std::make_shared<SecondAttempt>(m_request,
        SecondAttempt::Callbacks { .onWon =
                                       [weak = weak_from_this()](http::Answer response) {
                                           if (const auto self = weak.lock()) {
                                               self->endAttempt();
                                               self->onTargetResponse(std::move(response));
                                           }
                                       },
            .onFirstFailed =
                [weak = weak_from_this()](TargetAttempt::RunResult result) {
                    if (const auto self = weak.lock())
                        self->onRunResult(std::move(result));
                } });
    prepare();
    tryNextTarget();
}

auto RequestForwarding::prepare() -> void
{
    const auto& admitted = m_request->admitted;
    auto& service = m_request->service;
    service = PolicySnapshot::chooseService(*admitted.route, m_context.nextSplitPosition(admitted.route->name));
    m_request->priority = admitted.queuePriority(m_context, service);
    const auto now = monotonicNow();
    m_context.retryBudget.recordRequest(service, m_context.hostCount, now);
    m_context.hedging.recordRequest(service);
    if (admitted.isCallFromTarget() && service != m_context.service) {
        const bool isTargetIdle = m_context.runningPriorities && !m_context.runningPriorities->highest();
        m_context.callRatio.recordKeyless(
            { .service = service, .route = admitted.route->name, .isTargetIdle = isTargetIdle }, now);
    }
    removeUnforwardedHeaders(m_context.headers, m_request->exchange->request().headers);
}

auto RequestForwarding::tryNextTarget() -> void
{
    const bool isFirstAttempt = m_request->history.attempts == 0;
    auto target = m_request->search.next(
        [&] { return m_request->choice.choose(m_request->search, isFirstAttempt, monotonicNow()); });
    if (target)
        reserveSlot(std::move(target));
    else
        waitOrEnd();
}

// No target is usable now. Searches again after a pause or ends the request.
auto RequestForwarding::waitOrEnd() -> void
{
    auto& search = m_request->search;
    auto& history = m_request->history;
    const auto now = monotonicNow();
    const auto latencyLeft = m_request->targetLatencyLeft(now);
    const auto refusal = m_request->choice.refusal(latencyLeft, now);
    if (!refusal && search.shouldPause(m_request->choice.targets(), latencyLeft)) {
        search.restartAfterPause();
        m_pauseTimer.expires_after(dispatch::TargetSearch::s_pause);
        m_pauseTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error && self->m_onEnded)
                self->tryNextTarget();
        });
        return;
    }
    const auto stopReason = search.stopReason();
    if (history.lastErrorResponse)
        end(std::move(*history.lastErrorResponse), "the target's failure");
    else if (history.mayHaveRun)
        fail(http::statusBadGateway, "no target left after one may have run it");
    else if (refusal && stopReason.empty())
        refuse(*refusal);
    else
        refuse({ http::statusUnavailable, stopReason.empty() ? "no slot in time" : stopReason,
            m_request->choice.retryAfterOverload(monotonicNow()) });
}

auto RequestForwarding::reserveSlot(dispatch::LoadBalancer::TargetPointer target) -> void
{
    const auto message = m_request->makeReserveRequest(monotonicNow());
    m_attempt = std::make_unique<TargetAttempt>(m_context, std::move(target), m_request->id);
    m_attempt->reserve(
        message, [self = shared_from_this()](const TargetAttempt::SlotResult& result) { self->onSlotResult(result); });
}

auto RequestForwarding::endAttempt() -> void
{
    m_retryGate->cancel();
    if (m_secondAttempt)
        m_secondAttempt->cancel();
    m_pauseTimer.cancel();
    m_attempt = nullptr;
}

auto RequestForwarding::onSlotResult(const TargetAttempt::SlotResult& result) -> void
{
    if (!m_onEnded)
        return;
    if (std::holds_alternative<TargetAttempt::SlotGranted>(result))
        startAttempt();
    else if (const auto* refusal = std::get_if<TargetAttempt::SlotRefused>(&result))
        onSlotRefused(*refusal);
    else
        onSlotUnreachable(std::get<TargetAttempt::PathFailed>(result));
}

auto RequestForwarding::onSlotUnreachable(const TargetAttempt::PathFailed& failed) -> void
{
    if (failed.failure.wasReset || failed.failure.wasTimeout)
        m_request->search.exclude(m_attempt->target().address);
    endAttempt();
    tryNextTarget();
}

auto RequestForwarding::onSlotRefused(const TargetAttempt::SlotRefused& refusal) -> void
{
    if (refusal.reason == noSlotInTime)
        m_request->search.recordNoSlot();
    tryElsewhere();
}

// Gives up the attempt, which sent nothing to its target.
auto RequestForwarding::tryElsewhere() -> void
{
    m_request->search.exclude(m_attempt->target().address);
    endAttempt();
    tryNextTarget();
}

auto RequestForwarding::startAttempt() -> void
{
    if (m_request->admitted.isKeyRevokedBy(m_context.snapshot)) {
        endAttempt();
        if (m_request->history.mayHaveRun)
            fail(http::statusBadGateway, "the key was withdrawn after a target may have run it");
        else
            refuse({ http::statusUnauthorized, "the key was withdrawn", std::nullopt });
        return;
    }
    // A target that is still at work when the daemon ends is cut off, and its work is lost.
    if (m_context.stopsBefore(monotonicNow() + m_request->admitted.route->targetLatency)) {
        stopTrying(shutdownReason);
        return;
    }
    m_retryGate->acquire(m_attempt->target().address, [weak = weak_from_this()](std::string_view objection) {
        const auto self = weak.lock();
        if (!self || !self->m_onEnded)
            return;
        if (objection.empty())
            self->sendRequest();
        else
            self->stopTrying(objection);
    });
}

// Gives back the slot that was reserved and ends the request.
auto RequestForwarding::stopTrying(std::string_view why) -> void
{
    endAttempt();
    m_request->search.stop(why);
    waitOrEnd();
}

auto RequestForwarding::sendRequest() -> void
{
    auto& history = m_request->history;
    if (!m_request->choice.admits(m_attempt->target())) { // since the slot was reserved, the configuration has changed
        history.hasUnusedRetry = history.attempts > 0;
        tryElsewhere();
        return;
    }
    m_attemptStartedAt = monotonicNow();
    const bool isSent = m_attempt->run(m_request->makeRunRequest(m_attemptStartedAt),
        [self = shared_from_this()](TargetAttempt::RunResult result) { self->onRunResult(std::move(result)); });
    if (!isSent) {
        tryElsewhere();
        return;
    }
    if (history.attempts++ > 0)
        ++m_context.counters.retries;
    else
        m_secondAttempt->arm(*m_attempt, m_attemptStartedAt);
}

auto RequestForwarding::onRunResult(TargetAttempt::RunResult result) -> void
{
    if (!m_onEnded || m_secondAttempt->defer(result))
        return;
    m_request->search.exclude(m_attempt->target().address);
    if (auto* ended = std::get_if<TargetAttempt::Ended>(&result))
        onRunEnded(std::move(*ended));
    else
        onRunPathFailed();
}

auto RequestForwarding::onRunPathFailed() -> void
{
    constexpr std::string_view why = "the way to the target broke";
    m_request->history.mayHaveRun = true;
    endAttempt();
    retryOrEnd(http::makeAnswer(http::statusBadGateway, "text/plain", std::string(why)), why);
}

auto RequestForwarding::onRunEnded(TargetAttempt::Ended ended) -> void
{
    const auto outcome = ended.outcome;
    const auto target = m_attempt->target();
    endAttempt();
    if (outcome == RunOutcome::Answered) {
        onTargetResponse(std::move(ended.response));
        return;
    }
    if (outcome == RunOutcome::NotRun)
        m_request->search.recordRejection(target);
    if (outcome == RunOutcome::NotSent && m_request->history.undoAttempt())
        --m_context.counters.retries;
    if (outcome == RunOutcome::NotSent || outcome == RunOutcome::NotRun) {
        tryNextTarget();
        return;
    }
    m_request->history.mayHaveRun = true;
    if (outcome == RunOutcome::ConnectionLost) {
        onCrash(target.address);
        return;
    }
    constexpr std::string_view why = "the target gave no whole answer";
    const int status
        = ended.response.status == http::statusGatewayTimeout ? http::statusGatewayTimeout : http::statusBadGateway;
    retryOrEnd(http::makeAnswer(status, "text/plain", std::string(why)), why);
}

// The target ended the connection while it executed the request. It may have crashed because of the request, so the
// request is retried only if it hasn't crashed others.
auto RequestForwarding::onCrash(const std::string& target) -> void
{
    constexpr std::string_view why = "the target ended the connection";
    if (!m_request->admitted.isIdempotent()) {
        m_request->crashGuard.reportCrash(target, nullptr);
        fail(http::statusBadGateway, why);
        return;
    }
    m_retryGate->countCrash(target, [weak = weak_from_this(), why](bool isCrashing) {
        const auto self = weak.lock();
        if (!self || !self->m_onEnded)
            return;
        if (isCrashing)
            self->fail(http::statusBadGateway, "the request crashes targets");
        else
            self->retryOrEnd(http::makeAnswer(http::statusBadGateway, "text/plain", std::string(why)), why);
    });
}

auto RequestForwarding::onTargetResponse(http::Answer response) -> void
{
    if (response.status < http::firstServerError) {
        const auto& route = m_request->admitted.route->name;
        m_context.responseSizes.record(route, response.body.size());
        m_context.hedging.recordResponse(
            route, std::chrono::duration_cast<milliseconds>(monotonicNow() - m_attemptStartedAt));
        m_request->crashGuard.recordSuccess();
        end(std::move(response), answeredReason);
        return;
    }
    m_request->history.mayHaveRun = true;
    m_request->history.lastErrorResponse = response;
    retryOrEnd(std::move(response), "the target's failure");
}

auto RequestForwarding::retryOrEnd(http::Answer lastResponse, std::string_view why) -> void
{
    const auto& admitted = m_request->admitted;
    const auto& route = *admitted.route;
    const bool hasTime = admitted.timeLeft(monotonicNow()) > route.targetLatency / 4;
    if (admitted.isIdempotent() && m_request->history.attempts < route.maximumAttempts && hasTime) {
        m_request->search.restart();
        tryNextTarget();
        return;
    }
    end(std::move(lastResponse), why);
}

auto RequestForwarding::endByDeadline() -> void
{
    if (!m_onEnded)
        return;
    endAttempt();
    if (m_request->history.attempts > 0)
        fail(http::statusGatewayTimeout, "no answer in time");
    else
        refuse({ http::statusUnavailable, "no slot before the deadline",
            m_request->choice.retryAfterOverload(monotonicNow()) });
}

auto RequestForwarding::cancel() -> void
{
    m_onEnded = nullptr;
    endAttempt();
}

auto RequestForwarding::refuse(const RequestRefusal& refusal) -> void
{
    end(makeRefusal(m_context, refusal), refusal.reason);
}

auto RequestForwarding::fail(int status, std::string_view why) -> void
{
    end(http::makeAnswer(status, "text/plain", std::string(why)), why);
}

auto RequestForwarding::end(http::Answer response, std::string_view why) -> void
{
    m_pauseTimer.cancel();
    const auto onEnded = std::exchange(m_onEnded, nullptr);
    onEnded(std::move(response), why);
}

} // namespace coriandergate::relay
