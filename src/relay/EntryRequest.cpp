#include "relay/EntryRequest.h"

#include "http/Exchange.h"
#include "http/Status.h"
#include "log/Event.h"
#include "relay/AttemptEvent.h"
#include "relay/CallerResponse.h"
#include "relay/CrashReporter.h"
#include "relay/RateLimitCheck.h"
#include "relay/RetryBorrower.h"

#include <algorithm>
#include <utility>

namespace coriandergate::relay {

using std::chrono::milliseconds;

namespace {

    const log::Event hedgeStarted {
        1985, log::Severity::Info, "second attempt started",
        "a repeatable request whose first attempt runs for long also runs at another target; its first response counts"
    };

    auto isSuccess(const TargetAttempt::RunResult& result) -> bool
    {
        const auto* ended = std::get_if<TargetAttempt::Ended>(&result);
        return ended && ended->outcome == RunOutcome::Answered && ended->response.status < http::firstServerError;
    }

} // namespace

auto EntryRequest::start(EntryContext& context, std::shared_ptr<http::Exchange> exchange) -> void
{
    const auto request = std::make_shared<EntryRequest>(context, std::move(exchange));
    request->m_exchange->onAbandoned([weak = std::weak_ptr(request)] {
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
    m_waitTimer.expires_at(until);
    m_waitTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->begin();
    });
}

EntryRequest::EntryRequest(EntryContext& context, std::shared_ptr<http::Exchange> exchange)
    : m_context(context)
    , m_openRequests(context.openRequests)
    , m_exchange(std::move(exchange))
    , m_requestId(m_exchange->request().headers.find(context.headers.requestId).value_or(""))
    , m_receivedAt(monotonicNow())
    , m_deadlineTimer(context.io)
    , m_waitTimer(context.io)
    , m_search(context.options.search)
    , m_choice(context, m_admitted, m_service)
    , m_crashGuard(context, m_exchange)
{
}

auto EntryRequest::targetLatencyLeft(MonotonicTime now) const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(m_receivedAt + m_admitted.route->targetLatency - now);
}

auto EntryRequest::latency(MonotonicTime now) const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(now - m_receivedAt);
}

auto EntryRequest::begin() -> void
{
    if (m_isDone || m_hasBegun)
        return;
    m_hasBegun = true;
    m_waitTimer.cancel();
    if (const auto refusal
        = admitRequest(m_context, m_exchange->request(), m_receivedAt, SuspendAwareClock::now(), m_admitted)) {
        refuse(*refusal);
        return;
    }
    (*m_openRequests)[this] = weak_from_this();
    armDeadlineTimer();
    checkRateLimit();
}

auto EntryRequest::armDeadlineTimer() -> void
{
    m_deadlineTimer.expires_at(m_admitted.deadline);
    m_deadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->onDeadline();
    });
}

auto EntryRequest::capDeadline(MonotonicTime time) -> void
{
    if (m_isDone || m_admitted.deadline <= time)
        return;
    m_admitted.deadline = time;
    armDeadlineTimer();
}

EntryRequest::~EntryRequest() { m_openRequests->erase(this); }

auto EntryRequest::checkRateLimit() -> void
{
    const auto* account = m_admitted.clientAccount;
    if (!account || account->isUnlimited) {
        onRateLimitPassed();
        return;
    }
    m_rateLimitCheck = RateLimitCheck::start(m_context,
        { .account = { m_admitted.snapshot, account },
            .requestId = m_requestId,
            .timeLeft = m_admitted.timeLeft(monotonicNow()) },
        [weak = weak_from_this()](const dispatch::AccountRateLimiter::Decision& decision) {
            const auto self = weak.lock();
            if (self && !self->m_isDone)
                self->onRateLimitDecision(decision);
        });
}

auto EntryRequest::onRateLimitDecision(const dispatch::AccountRateLimiter::Decision& decision) -> void
{
    if (decision.isGranted)
        onRateLimitPassed();
    else if (decision.retryAfter)
        refuse({ http::statusTooManyRequests, "over the rate", decision.retryAfter });
    else
        refuse({ http::statusUnavailable, "the rate can't be checked", m_context.options.rateLimitOwnerBackoff });
}

auto EntryRequest::onRateLimitPassed() -> void
{
    prepareForwarding();
    tryNextTarget();
}

auto EntryRequest::prepareForwarding() -> void
{
    m_service = PolicySnapshot::chooseService(*m_admitted.route, m_context.nextSplitPosition(m_admitted.route->name));
    m_priority = m_admitted.queuePriority(m_context, m_service);
    const auto now = monotonicNow();
    m_context.retryBudget.recordRequest(m_service, now);
    m_context.hedging.recordRequest(m_service);
    if (m_admitted.isCallFromTarget() && m_service != m_context.service)
        m_context.callRatio.recordCall(m_service, now);
    removeUnforwardedHeaders(m_context.headers, m_exchange->request().headers);
}

auto EntryRequest::tryNextTarget() -> void
{
    if (auto target = m_search.next([this] { return m_choice.choose(m_search, m_attempts == 0, monotonicNow()); }))
        reserveSlot(std::move(target));
    else
        waitOrFinish();
}

// No target is usable now. Searches again after a pause or ends the request.
auto EntryRequest::waitOrFinish() -> void
{
    const auto now = monotonicNow();
    const auto latencyLeft = targetLatencyLeft(now);
    const auto refusal = m_choice.refusal(latencyLeft, now);
    if (!refusal && m_search.shouldPause(m_choice.targets(), latencyLeft)) {
        m_search.restartAfterPause();
        m_waitTimer.expires_after(dispatch::TargetSearch::s_pause);
        m_waitTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error && !self->m_isDone)
                self->tryNextTarget();
        });
        return;
    }
    const auto stopReason = m_search.stopReason();
    if (m_lastErrorResponse)
        finish(std::move(*m_lastErrorResponse), "the target's failure");
    else if (m_mayHaveRun)
        fail(http::statusBadGateway, "no target left after one may have run it");
    else if (refusal && stopReason.empty())
        refuse(*refusal);
    else
        refuse({ http::statusUnavailable, stopReason.empty() ? "no slot in time" : stopReason,
            m_choice.retryAfterOverload(monotonicNow()) });
}

auto EntryRequest::reserveSlot(dispatch::LoadBalancer::TargetPointer target) -> void
{
    const auto now = monotonicNow();
    m_attempt = std::make_unique<TargetAttempt>(m_context, std::move(target), m_requestId);
    const auto latencyLeft = targetLatencyLeft(now);
    const auto* account = m_admitted.queueAccount(m_service);
    const ReserveRequest message { .requestId = m_requestId,
        .service = m_service,
        .priority = m_priority,
        .isIdempotent = m_admitted.isIdempotent(),
        .targetLatencyLeft = latencyLeft,
        .maximumWait = m_search.maximumWait({ .toTargetLatency = latencyLeft, .toDeadline = m_admitted.timeLeft(now) }),
        .acceptsFailingTarget = m_choice.isInPanicMode(now),
        .isPastTargetLatency = m_search.isPastTargetLatency(),
        .clientAccount = account ? account->name : "",
        .accountWeight = account ? m_admitted.snapshot->accountWeight(*account) : 1 };
    m_attempt->reserve(
        message, [self = shared_from_this()](const TargetAttempt::SlotResult& result) { self->onSlotResult(result); });
}

auto EntryRequest::endAttempt() -> void
{
    if (m_rateLimitCheck)
        std::exchange(m_rateLimitCheck, nullptr)->cancel();
    if (m_retryBorrower)
        std::exchange(m_retryBorrower, nullptr)->cancel();
    if (m_crashReporter)
        std::exchange(m_crashReporter, nullptr)->detach();
    m_waitTimer.cancel();
    m_hedge = nullptr;
    m_firstResult.reset();
    m_attempt = nullptr;
}

auto EntryRequest::onSlotResult(const TargetAttempt::SlotResult& result) -> void
{
    if (m_isDone)
        return;
    if (std::holds_alternative<TargetAttempt::SlotGranted>(result))
        startAttempt();
    else if (const auto* refusal = std::get_if<TargetAttempt::SlotRefused>(&result))
        onSlotRefused(*refusal);
    else
        onSlotUnreachable(std::get<TargetAttempt::PathFailed>(result));
}

auto EntryRequest::onSlotUnreachable(const TargetAttempt::PathFailed& failed) -> void
{
    if (failed.failure.wasReset || failed.failure.wasTimeout)
        m_search.exclude(m_attempt->target().address);
    endAttempt();
    tryNextTarget();
}

auto EntryRequest::onSlotRefused(const TargetAttempt::SlotRefused& refusal) -> void
{
    if (refusal.reason == noSlotInTime)
        m_search.recordNoSlot();
    tryElsewhere();
}

// Gives up the attempt, which sent nothing to its target.
auto EntryRequest::tryElsewhere() -> void
{
    m_search.exclude(m_attempt->target().address);
    endAttempt();
    tryNextTarget();
}

auto EntryRequest::startAttempt() -> void
{
    if (m_admitted.isKeyRevokedBy(m_context.snapshot)) {
        endAttempt();
        if (m_mayHaveRun)
            fail(http::statusBadGateway, "the key was withdrawn after a target may have run it");
        else
            refuse({ http::statusUnauthorized, "the key was withdrawn", std::nullopt });
        return;
    }
    // A target that is still at work when the daemon ends is cut off, and its work is lost.
    if (m_context.stopsBefore(monotonicNow() + m_admitted.route->targetLatency)) {
        stopTrying(shutdownReason);
        return;
    }
    if (m_attempts > 0 && m_crashGuard.isKnownToCrash()) {
        stopTrying("the request crashes targets");
        return;
    }
    const bool isWithinBudget = m_attempts == 0 || std::exchange(m_hasUnusedRetry, false)
        || m_context.retryBudget.tryAcquire(m_service, m_context.callsPerRequest[m_service],
            m_admitted.retryClass(m_service), m_context.hostCount, monotonicNow());
    if (isWithinBudget)
        sendRequest();
    else
        borrowRetry();
}

auto EntryRequest::borrowRetry() -> void
{
    m_retryBorrower
        = RetryBorrower::start(m_context, { .service = m_service, .calls = m_context.callsPerRequest[m_service] },
            [weak = weak_from_this()](bool isLent) {
                const auto self = weak.lock();
                if (!self || self->m_isDone)
                    return;
                if (isLent)
                    self->sendRequest();
                else
                    self->onRetryBudgetExhausted();
            });
}

auto EntryRequest::onRetryBudgetExhausted() -> void
{
    log::logEvent(attemptEnded,
        { { "request", m_requestId }, { "peer", m_attempt->target().address }, { "step", "run" },
            { "outcome", "not-run" }, { "why", "retry budget exhausted" },
            { "calls", encodeCallsPerRequest(m_context.callsPerRequest[m_service]) } });
    stopTrying("no further attempt in the budget");
}

// Gives back the slot that was reserved and ends the request.
auto EntryRequest::stopTrying(std::string_view why) -> void
{
    endAttempt();
    m_search.stop(why);
    waitOrFinish();
}

// The target ended the connection while it executed the request. It may have crashed because of the request, so the
// request is retried only if it hasn't crashed others.
auto EntryRequest::onCrash(const std::string& target) -> void
{
    if (!m_admitted.isIdempotent()) {
        m_crashGuard.reportCrash(target, nullptr);
        fail(http::statusBadGateway, "the target ended the connection");
        return;
    }
    m_crashReporter = m_crashGuard.reportCrash(target, [weak = weak_from_this()](std::optional<std::size_t> crashes) {
        const auto self = weak.lock();
        if (self && !self->m_isDone)
            self->onCrashesCounted(crashes);
    });
}

auto EntryRequest::onCrashesCounted(std::optional<std::size_t> crashes) -> void
{
    if (CrashGuard::isTooMany(crashes)) {
        fail(http::statusBadGateway, "the request crashes targets");
        return;
    }
    constexpr std::string_view why = "the target ended the connection";
    retryOrFinish(http::makeAnswer(http::statusBadGateway, "text/plain", std::string(why)), why);
}

auto EntryRequest::makeRunRequest(MonotonicTime now) const -> RunRequest
{
    RunRequest message { .request = m_exchange->request(),
        .requestId = m_requestId,
        .callerService = m_context.service,
        .clientAccount = m_admitted.clientAccount ? m_admitted.clientAccount->name : "",
        .isIdempotent = m_admitted.isIdempotent(),
        .timeLeft = m_admitted.timeLeft(now),
        .targetLatencyLeft = targetLatencyLeft(now),
        .expiresAt = {},
        .configurationVersion = m_context.snapshot->configuration().version };
    if (const auto storeTime = m_context.configurationFreshness.storeTime(SuspendAwareClock::now()))
        message.expiresAt = *storeTime + message.timeLeft;
    return message;
}

auto EntryRequest::sendRequest() -> void
{
    if (!m_choice.admits(m_attempt->target())) { // since the slot was reserved, the configuration has changed
        m_hasUnusedRetry = m_attempts > 0;
        tryElsewhere();
        return;
    }
    m_attemptStartedAt = monotonicNow();
    const bool isSent = m_attempt->run(makeRunRequest(m_attemptStartedAt),
        [self = shared_from_this()](TargetAttempt::RunResult result) { self->onRunResult(std::move(result)); });
    if (!isSent) {
        tryElsewhere();
        return;
    }
    if (m_attempts++ > 0)
        ++m_context.counters.retries;
    else
        armHedgeTimer();
}

auto EntryRequest::armHedgeTimer() -> void
{
    if (!m_admitted.isIdempotent())
        return;
    const auto delay = m_context.hedging.delay({ .route = m_admitted.route->name,
        .targetLatencyLeft = targetLatencyLeft(m_attemptStartedAt),
        .timeLeft = m_admitted.timeLeft(m_attemptStartedAt) });
    if (!delay)
        return;
    m_waitTimer.expires_after(*delay);
    m_waitTimer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && !self->m_isDone)
            self->startHedge();
    });
}

auto EntryRequest::mayHedge(MonotonicTime now) const -> bool
{
    return m_attempt && !m_firstResult && m_attempts == 1 && m_admitted.route->maximumAttempts > 1
        && !m_context.stopsBefore(now + m_admitted.route->targetLatency)
        && !m_admitted.isKeyRevokedBy(m_context.snapshot) && !m_crashGuard.isKnownToCrash();
}

// Starts a second attempt at another target that is sound and has a free slot, if there is one.
auto EntryRequest::startHedge() -> void
{
    const auto now = monotonicNow();
    if (!mayHedge(now) || !m_choice.hasBudgetForSecond(now))
        return;
    auto target = m_choice.chooseSecond(m_search, m_attempt->target().address, now);
    if (!target)
        return;
    m_hedge = std::make_unique<HedgedAttempt>(m_context, std::move(target), m_requestId);
    m_hedge->start({ .requestId = m_requestId,
                       .service = m_service,
                       .priority = m_priority,
                       .isIdempotent = true,
                       .targetLatencyLeft = targetLatencyLeft(now) },
        { .makeRun = [this] { return makeHedgeRequest(); },
            .onGivenUp = [self = shared_from_this()] { self->m_hedge = nullptr; },
            .onEnded = [self = shared_from_this()](
                           TargetAttempt::RunResult result) { self->onHedgeEnded(std::move(result)); } });
}

auto EntryRequest::makeHedgeRequest() -> std::optional<RunRequest>
{
    const auto now = monotonicNow();
    if (!mayHedge(now) || !m_choice.admits(m_hedge->target()) || !m_choice.chargeSecond(now))
        return std::nullopt;
    ++m_attempts;
    ++m_context.counters.hedges;
    log::logEvent(hedgeStarted,
        { { "request", m_requestId }, { "route", m_admitted.route->name }, { "peer", m_hedge->target().address },
            { "first-peer", m_attempt->target().address },
            { "after-ms",
                std::to_string(std::chrono::duration_cast<milliseconds>(now - m_attemptStartedAt).count()) } });
    return makeRunRequest(now);
}

auto EntryRequest::onHedgeEnded(TargetAttempt::RunResult result) -> void
{
    const auto target = m_hedge->target();
    m_hedge = nullptr;
    if (m_isDone)
        return;
    m_search.exclude(target.address);
    if (isSuccess(result)) {
        ++m_context.counters.hedgesWon;
        endAttempt();
        onTargetResponse(std::get<TargetAttempt::Ended>(std::move(result)).response);
        return;
    }
    recordHedgeFailure(std::move(result), target);
    if (auto first = std::exchange(m_firstResult, std::nullopt))
        onRunResult(std::move(*first));
}

auto EntryRequest::recordHedgeFailure(
    TargetAttempt::RunResult result, const dispatch::LoadBalancer::Description& target) -> void
{
    auto* ended = std::get_if<TargetAttempt::Ended>(&result);
    const auto outcome = ended ? ended->outcome : RunOutcome::MayHaveRun;
    if (outcome == RunOutcome::NotRun)
        m_search.recordRejection(target);
    if (outcome == RunOutcome::NotSent) {
        --m_attempts;
        m_hasUnusedRetry = true;
    }
    if (outcome == RunOutcome::NotRun || outcome == RunOutcome::NotSent)
        return;
    m_mayHaveRun = true;
    if (outcome == RunOutcome::ConnectionLost)
        m_crashGuard.reportCrash(target.address, nullptr);
    if (outcome == RunOutcome::Answered)
        m_lastErrorResponse = std::move(ended->response);
}

// Takes back an attempt that did not reach the target. Its charge on the retry budget covers the next attempt.
auto EntryRequest::undoAttempt() -> void
{
    --m_attempts;
    m_hasUnusedRetry = m_attempts > 0;
    if (m_hasUnusedRetry)
        --m_context.counters.retries;
}

auto EntryRequest::onRunResult(TargetAttempt::RunResult result) -> void
{
    if (m_isDone)
        return;
    if (!isSuccess(result) && m_hedge && m_hedge->isRunning()) {
        m_firstResult = std::move(result); // decides once the second attempt has failed too
        return;
    }
    m_search.exclude(m_attempt->target().address);
    if (auto* ended = std::get_if<TargetAttempt::Ended>(&result))
        onRunEnded(std::move(*ended));
    else
        onRunPathFailed();
}

auto EntryRequest::onRunPathFailed() -> void
{
    constexpr std::string_view why = "the way to the target broke";
    m_mayHaveRun = true;
    endAttempt();
    retryOrFinish(http::makeAnswer(http::statusBadGateway, "text/plain", std::string(why)), why);
}

auto EntryRequest::onRunEnded(TargetAttempt::Ended ended) -> void
{
    const auto outcome = ended.outcome;
    const auto target = m_attempt->target();
    endAttempt();
    if (outcome == RunOutcome::Answered) {
        onTargetResponse(std::move(ended.response));
        return;
    }
    if (outcome == RunOutcome::NotRun)
        m_search.recordRejection(target);
    if (outcome == RunOutcome::NotSent)
        undoAttempt();
    if (outcome == RunOutcome::NotSent || outcome == RunOutcome::NotRun) {
        tryNextTarget();
        return;
    }
    m_mayHaveRun = true;
    if (outcome == RunOutcome::ConnectionLost) {
        onCrash(target.address);
        return;
    }
    constexpr std::string_view why = "the target gave no whole answer";
    const int status
        = ended.response.status == http::statusGatewayTimeout ? http::statusGatewayTimeout : http::statusBadGateway;
    retryOrFinish(http::makeAnswer(status, "text/plain", std::string(why)), why);
}

auto EntryRequest::onTargetResponse(http::Answer response) -> void
{
    if (response.status < http::firstServerError) {
        const auto& route = m_admitted.route->name;
        m_context.responseSizes.record(route, response.body.size());
        m_context.hedging.recordResponse(
            route, std::chrono::duration_cast<milliseconds>(monotonicNow() - m_attemptStartedAt));
        m_crashGuard.recordSuccess();
        finish(std::move(response), answeredReason);
        return;
    }
    m_mayHaveRun = true;
    m_lastErrorResponse = response;
    retryOrFinish(std::move(response), "the target's failure");
}

auto EntryRequest::retryOrFinish(http::Answer lastResponse, std::string_view why) -> void
{
    const auto now = monotonicNow();
    const auto& route = *m_admitted.route;
    const bool hasTime = m_admitted.timeLeft(now) > route.targetLatency / 4;
    if (m_admitted.isIdempotent() && m_attempts < route.maximumAttempts && hasTime) {
        m_search.restart();
        tryNextTarget();
        return;
    }
    finish(std::move(lastResponse), why);
}

auto EntryRequest::onDeadline() -> void
{
    if (m_isDone)
        return;
    endAttempt();
    if (m_attempts > 0)
        fail(http::statusGatewayTimeout, "no answer in time");
    else
        refuse({ http::statusUnavailable, "no slot before the deadline", m_choice.retryAfterOverload(monotonicNow()) });
}

auto EntryRequest::cancel() -> void
{
    m_isDone = true;
    endAttempt();
    m_deadlineTimer.cancel();
    m_waitTimer.cancel();
}

auto EntryRequest::onCallerDisconnected() -> void
{
    if (m_isDone)
        return;
    cancel();
    recordCallerLeft(m_context, m_requestId, latency(monotonicNow()));
}

auto EntryRequest::refuse(const RequestRefusal& refusal) -> void
{
    finish(makeRefusal(m_context, refusal), refusal.reason);
}

auto EntryRequest::fail(int status, std::string_view why) -> void
{
    finish(http::makeAnswer(status, "text/plain", std::string(why)), why);
}

auto EntryRequest::finish(http::Answer response, std::string_view why) -> void
{
    m_isDone = true;
    m_deadlineTimer.cancel();
    m_waitTimer.cancel();
    if (m_rateLimitCheck)
        std::exchange(m_rateLimitCheck, nullptr)->cancel();
    recordEnd(m_context,
        { .admitted = m_admitted,
            .requestId = m_requestId,
            .service = m_service,
            .status = response.status,
            .reason = why,
            .latency = latency(monotonicNow()),
            .attempts = m_attempts,
            .rejections = m_search.rejections() },
        SuspendAwareClock::now());
    if (!m_requestId.empty() && !response.headers.find(m_context.headers.requestId))
        response.headers.add(m_context.headers.requestId, m_requestId);
    m_exchange->answer(std::move(response));
}

} // namespace coriandergate::relay
