#include "relay/EntryRequest.h"

#include "base/Hash.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "log/Event.h"
#include "relay/AttemptEvent.h"
#include "relay/CrashRegistry.h"
#include "relay/CrashReporter.h"
#include "relay/RateLimitCheck.h"
#include "relay/RetryBorrower.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace coriandergate::relay {

using std::chrono::milliseconds;

namespace {

    const log::Event requestEnded { 1900, log::Severity::Info, "caller answered",
        "one event per request: its status, the reason, and the configuration and freshness that decided it" };

    // Subtracted from the caller's deadline, so that the response arrives before the caller gives up.
    constexpr milliseconds responseMargin { 30 };
    // The call that forwards a request times out this long after the request's deadline, so that a timeout means a
    // broken connection rather than a short deadline.
    constexpr milliseconds peerTimeoutMargin { 1000 };
    // Between two searches for a target when none is usable.
    constexpr milliseconds noTargetPause { 60 };
    // Fraction of the time to the deadline that a request past its target latency may wait for a slot.
    constexpr double slotWaitFraction = 0.5;
    constexpr std::string_view shutdownReason = "the daemon stops";

    auto secondsText(milliseconds time) -> std::string
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), "%.2f", std::chrono::duration<double>(time).count());
        return text.data();
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
{
}

auto EntryRequest::isIdempotent() const -> bool { return m_route->repeatPolicy == config::RepeatPolicy::Idempotent; }

auto EntryRequest::retryClass() const -> dispatch::RetryBudget::RetryClass
{
    using RetryClass = dispatch::RetryBudget::RetryClass;
    return isCallFromTarget() || m_route->priority <= m_snapshot->highestPriority(m_service) ? RetryClass::HighPriority
                                                                                             : RetryClass::LowPriority;
}

// A request without a client account is taken for a call that a target makes while it executes another request: if the
// call fails, the calling request fails too and its work is lost.
auto EntryRequest::isCallFromTarget() const -> bool { return !m_clientAccount; }

auto EntryRequest::timeLeft(MonotonicTime now) const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(m_deadline - now);
}

auto EntryRequest::targetLatencyLeft(MonotonicTime now) const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(m_receivedAt + m_route->targetLatency - now);
}

auto EntryRequest::begin() -> void
{
    if (m_isDone || m_hasBegun)
        return;
    m_hasBegun = true;
    m_waitTimer.cancel();
    m_snapshot = m_context.snapshot;
    if (m_context.callerPortClosesAt && m_receivedAt >= *m_context.callerPortClosesAt) {
        refuse(http::statusUnavailable, shutdownReason, m_context.options.minimumRetryAfter);
        return;
    }
    const auto& headers = m_exchange->request().headers;
    if (!m_snapshot) {
        constexpr milliseconds retryAfter { 500 };
        refuse(http::statusUnavailable, "no configuration yet", retryAfter);
        return;
    }
    if (m_requestId.empty()) {
        refuse(http::statusBadRequest, "the request has no id", std::nullopt);
        return;
    }
    m_route = m_snapshot->match(headers.find("Host").value_or(""), m_exchange->request().target);
    if (!m_route) {
        refuse(http::statusNotFound, "no route", std::nullopt);
        return;
    }
    m_priority = m_route->priority;
    readDeadline();
    if (!authenticate())
        return;
    (*m_openRequests)[this] = weak_from_this();
    armDeadlineTimer();
    checkRateLimit();
}

auto EntryRequest::armDeadlineTimer() -> void
{
    m_deadlineTimer.expires_at(m_deadline);
    m_deadlineTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->onDeadline();
    });
}

auto EntryRequest::capDeadline(MonotonicTime time) -> void
{
    if (m_isDone || m_deadline <= time)
        return;
    m_deadline = time;
    armDeadlineTimer();
}

EntryRequest::~EntryRequest() { m_openRequests->erase(this); }

auto EntryRequest::readDeadline() -> void
{
    auto timeToDeadline = m_route->deadline;
    const auto header = m_exchange->request().headers.find(m_context.headers.deadline);
    milliseconds::rep deadlineMs = 0;
    if (header && std::from_chars(header->data(), header->data() + header->size(), deadlineMs).ec == std::errc {}
        && deadlineMs >= 0)
        timeToDeadline
            = std::min(timeToDeadline, std::max(milliseconds { 1 }, milliseconds(deadlineMs) - responseMargin));
    m_deadline = m_receivedAt + timeToDeadline;
    if (m_context.shutdownDeadline)
        m_deadline = std::min(m_deadline, *m_context.shutdownDeadline);
}

auto EntryRequest::authenticate() -> bool
{
    if (m_route->isOpen || !(m_context.options.requiresApiKeys || m_snapshot->requiresApiKeys()))
        return true;
    const auto now = SuspendAwareClock::now();
    if (!m_context.configurationFreshness.isFresh(now) || !m_context.hostListFreshness.isFresh(now)) {
        constexpr milliseconds retryAfter { 1000 };
        refuse(http::statusUnavailable, "the configuration may be out of date", retryAfter);
        return false;
    }
    m_key = m_exchange->request().headers.find(m_context.headers.apiKey).value_or("");
    const auto* account = m_key.empty() ? nullptr : m_snapshot->keys().accountForKey(m_key);
    if (!account) {
        refuse(http::statusUnauthorized, m_key.empty() ? "no key" : "unknown key", std::nullopt);
        return false;
    }
    m_clientAccount = account;
    m_priority = account->priority.value_or(m_priority);
    return true;
}

auto EntryRequest::checkRateLimit() -> void
{
    if (!m_clientAccount || m_clientAccount->isUnlimited) {
        onRateLimitPassed();
        return;
    }
    m_rateLimitCheck = RateLimitCheck::start(m_context,
        { .account = *m_clientAccount, .requestId = m_requestId, .timeLeft = timeLeft(monotonicNow()) },
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
        refuse(http::statusTooManyRequests, "over the rate", decision.retryAfter);
    else
        refuse(http::statusUnavailable, "the rate can't be checked", m_context.options.rateLimitOwnerBackoff);
}

auto EntryRequest::onRateLimitPassed() -> void
{
    prepareForwarding();
    tryNextTarget();
}

auto EntryRequest::prepareForwarding() -> void
{
    m_service = PolicySnapshot::chooseService(*m_route, m_context.nextSplitPosition(m_route->name));
    if (isCallFromTarget())
        m_priority = std::min(m_priority, m_snapshot->highestPriority(m_service));
    const auto now = monotonicNow();
    m_context.retryBudget.recordRequest(m_service, now);
    if (!m_clientAccount && m_service != m_context.service)
        m_context.callRatio.recordCall(m_service, now);
    auto& headers = m_exchange->request().headers;
    const auto& names = m_context.headers;
    http::removeHopByHop(headers);
    headers.removeAll("Content-Length");
    headers.removeAll("Expect");
    for (const auto* name : { &names.apiKey, &names.clientAccount, &names.callerService, &names.expectedTarget })
        headers.removeAll(*name);
}

auto EntryRequest::chooseTarget() -> dispatch::LoadBalancer::TargetPointer
{
    const auto now = monotonicNow();
    // A failing target gets the request as a probe only if the request can be retried after the probe fails.
    const bool mayProbe = isIdempotent() && m_attempts == 0 && m_route->maximumAttempts > 1
        && m_context.retryBudget.canAcquire(m_service, m_context.callsPerRequest[m_service],
            dispatch::RetryBudget::RetryClass::Probe, m_context.hostCount, now);
    return m_context.loadBalancer.choose({ .service = m_service,
                                             .mayProbe = mayProbe,
                                             .distanceFactor = distanceFactor(),
                                             .excluded = m_excludedTargets,
                                             .excludedIds = m_rejectingIds },
        now, m_context.random());
}

// Weights distance more for routes with large responses, because the links between data centres and regions are narrow
// and shared.
auto EntryRequest::distanceFactor() const -> double
{
    const auto known = m_context.meanResponseBytes.find(m_route->name);
    const double meanBytes = known == m_context.meanResponseBytes.end() ? 0 : known->second;
    return std::min(m_context.options.maximumDistanceFactor, 1 + meanBytes / m_context.options.distanceDoublingBytes);
}

auto EntryRequest::recordResponseSize(const http::Answer& response) -> void
{
    constexpr double newestWeight = 0.1; // averages over about ten responses
    auto& mean = m_context.meanResponseBytes[m_route->name];
    mean += newestWeight * (static_cast<double>(response.body.size()) - mean);
}

auto EntryRequest::advanceStage() -> void
{
    m_triesInStage = 0;
    switch (m_stage) {
    case Stage::NoWait:
        m_stage = Stage::WithinTargetLatency;
        return;
    case Stage::WithinTargetLatency:
        m_stage = Stage::BeforeDeadline;
        return;
    case Stage::BeforeDeadline:
    case Stage::Exhausted:
        m_stage = Stage::Exhausted;
        return;
    }
}

auto EntryRequest::tryNextTarget() -> void
{
    const auto& options = m_context.options;
    const auto maximumTries = [&options](Stage stage) -> std::size_t {
        switch (stage) {
        case Stage::NoWait:
            return options.noWaitTries;
        case Stage::WithinTargetLatency:
            return options.targetLatencyTries;
        case Stage::BeforeDeadline:
            return options.deadlineTries;
        case Stage::Exhausted:
            return 0;
        }
        return 0;
    };
    while (m_stage != Stage::Exhausted) {
        m_target = m_triesInStage < maximumTries(m_stage) ? chooseTarget() : nullptr;
        if (m_target) {
            ++m_triesInStage;
            reserveSlot();
            return;
        }
        advanceStage();
        if (m_stage == Stage::WithinTargetLatency)
            m_excludedTargets = m_rejectingAddresses;
    }
    waitOrFinish();
}

auto EntryRequest::recordRejection() -> void
{
    m_rejectingAddresses.push_back(m_askedTarget.address);
    for (const auto& id : { m_askedTarget.targetId, m_askedTarget.hostKey }) {
        if (!id.empty())
            m_rejectingIds.push_back(id);
    }
}

auto EntryRequest::isRejectedByAllTargets() const -> bool
{
    const auto targets = m_context.loadBalancer.targets(m_service);
    return !m_rejectingAddresses.empty() && std::all_of(targets.begin(), targets.end(), [this](const auto& target) {
        const auto& description = target->description;
        return description.isDraining
            || dispatch::LoadBalancer::isAmong(description, m_rejectingAddresses, m_rejectingIds);
    });
}

// No target is usable now. Searches again after a pause while the target latency can still be met and no target refused
// for lack of slots; otherwise ends the request.
auto EntryRequest::waitOrFinish() -> void
{
    const auto now = monotonicNow();
    if (m_slotRefusals == 0 && m_stopReason.empty() && !isRejectedByAllTargets()
        && targetLatencyLeft(now) > noTargetPause) {
        m_stage = Stage::NoWait;
        m_triesInStage = 0;
        m_excludedTargets = m_rejectingAddresses;
        m_waitTimer.expires_after(noTargetPause);
        m_waitTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error && !self->m_isDone)
                self->tryNextTarget();
        });
        return;
    }
    if (m_lastErrorResponse)
        finish(std::move(*m_lastErrorResponse), "the target's failure");
    else if (m_mayHaveRun)
        fail(http::statusBadGateway, "no target left after one may have run it");
    else
        refuse(http::statusUnavailable, m_stopReason.empty() ? "no slot in time" : m_stopReason, overloadRetryAfter());
}

auto EntryRequest::overloadRetryAfter() -> milliseconds
{
    // Spreads the callers' retries over about the time that the targets need to work off their queues.
    const auto now = monotonicNow();
    const double meanUtilization = m_context.loadBalancer.meanUtilization(m_service, now);
    const auto meanWaitMs
        = static_cast<double>(m_route->targetLatency.count()) * std::clamp(meanUtilization, 0.3, 2.0) / 2;
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const milliseconds wait(std::llround(meanWaitMs * spread(m_context.random)));
    return std::clamp(wait, m_context.options.minimumRetryAfter, m_context.options.maximumRetryAfter);
}

auto EntryRequest::maximumSlotWait(MonotonicTime now) const -> milliseconds
{
    switch (m_stage) {
    case Stage::NoWait:
    case Stage::Exhausted:
        return milliseconds { 0 };
    case Stage::WithinTargetLatency:
        return std::max(milliseconds { 0 }, targetLatencyLeft(now));
    case Stage::BeforeDeadline:
        return std::chrono::duration_cast<milliseconds>(timeLeft(now) * slotWaitFraction);
    }
    return milliseconds { 0 };
}

auto EntryRequest::reserveSlot() -> void
{
    const auto now = monotonicNow();
    m_context.loadBalancer.beginRequest(*m_target);
    m_askedTarget = m_target->description;
    const auto wait = maximumSlotWait(now);
    const ReserveRequest message { .requestId = m_requestId,
        .service = m_service,
        .priority = m_priority,
        .isIdempotent = isIdempotent(),
        .targetLatencyLeft = targetLatencyLeft(now),
        .maximumWait = wait,
        .acceptsFailingTarget = m_context.loadBalancer.isInPanicMode(m_service, now),
        .isPastTargetLatency = m_stage == Stage::BeforeDeadline };
    const bool isOtherRegion = m_target->description.locality.region != m_context.locality.region;
    const auto peerTimeout = isOtherRegion ? m_context.options.crossRegionPeerTimeout : m_context.options.peerTimeout;
    m_call = m_context.peerClient.send(m_target->description.address, encodeReserveRequest(message),
        { .timeout = wait + peerTimeout, .keepsConnection = true },
        [self = shared_from_this()](net::HttpClient::Result result) { self->onSlotResponse(std::move(result)); });
}

auto EntryRequest::endAttempt() -> void
{
    if (m_rateLimitCheck)
        std::exchange(m_rateLimitCheck, nullptr)->cancel();
    if (m_retryBorrower)
        std::exchange(m_retryBorrower, nullptr)->cancel();
    if (m_crashReporter)
        std::exchange(m_crashReporter, nullptr)->detach();
    if (m_target)
        m_context.loadBalancer.endRequest(*m_target);
    m_target = nullptr;
    m_call = 0;
}

auto EntryRequest::applyLoadReport(const http::Answer& response) -> void
{
    const auto header = response.headers.find(loadHeader);
    const auto report = header ? decodeLoadReport(*header) : std::nullopt;
    if (!report)
        return;
    const auto now = monotonicNow();
    m_context.loadBalancer.recordPathSuccess(*m_target);
    m_context.loadBalancer.recordLoad(*m_target, report->load, report->rejectionRate, now);
    if (report->nextProbeIn)
        m_context.loadBalancer.recordFailing(*m_target, *report->nextProbeIn, now);
    else
        m_context.loadBalancer.recordHealthy(*m_target);
}

auto EntryRequest::onSlotResponse(net::HttpClient::Result result) -> void
{
    if (m_isDone)
        return;
    if (const auto* failure = std::get_if<http::ExchangeFailure>(&result)) {
        ++m_context.counters.pathFailures;
        log::logEvent(attemptEnded,
            { { "request", m_requestId }, { "peer", m_target->description.address }, { "step", "reserve" },
                { "outcome", "not-run" }, { "why", failure->error.toText() } });
        // A reset of a reused connection only means that the peer had closed it while it was idle.
        if (!(failure->wasReusedConnection && failure->wasReset))
            m_context.loadBalancer.recordPathFailure(*m_target, monotonicNow());
        if (failure->wasReset || failure->wasTimeout)
            m_excludedTargets.push_back(m_target->description.address);
        endAttempt();
        tryNextTarget();
        return;
    }
    const auto& response = std::get<http::Answer>(result);
    applyLoadReport(response);
    if (response.status == http::statusOk) {
        if (const auto calls = response.headers.find(callsHeader))
            m_context.callsPerRequest[m_service] = decodeCallsPerRequest(*calls);
        startAttempt();
        return;
    }
    onSlotRefused(response);
}

auto EntryRequest::onSlotRefused(const http::Answer& response) -> void
{
    m_context.peerClient.release(m_call);
    // A target without a free slot may soon have one. The load report already says when a failing target may be probed.
    // Any other refusal, such as of a draining target, lasts longer.
    constexpr milliseconds refusalBackoff { 1000 };
    if (response.body == noSlotInTime)
        ++m_slotRefusals;
    else if (response.body != targetIsFailing)
        m_context.loadBalancer.markUnavailable(*m_target, monotonicNow() + refusalBackoff);
    m_excludedTargets.push_back(m_target->description.address);
    endAttempt();
    tryNextTarget();
}

auto EntryRequest::startAttempt() -> void
{
    if (isKeyRevoked()) {
        m_context.peerClient.cancel(m_call);
        endAttempt();
        if (m_mayHaveRun)
            fail(http::statusBadGateway, "the key was withdrawn after a target may have run it");
        else
            refuse(http::statusUnauthorized, "the key was withdrawn", std::nullopt);
        return;
    }
    if (isTooLateBeforeShutdown(monotonicNow())) {
        stopTrying(shutdownReason);
        return;
    }
    if (m_attempts > 0 && crashesTargets()) {
        stopTrying("the request crashes targets");
        return;
    }
    const bool isWithinBudget = m_attempts == 0 || std::exchange(m_hasUnusedRetry, false)
        || m_context.retryBudget.tryAcquire(
            m_service, m_context.callsPerRequest[m_service], retryClass(), m_context.hostCount, monotonicNow());
    if (isWithinBudget)
        sendRequest();
    else
        borrowRetry();
}

// A target that is still at work when the daemon ends is cut off, and its work is lost.
auto EntryRequest::isTooLateBeforeShutdown(MonotonicTime now) const -> bool
{
    return m_context.shutdownDeadline && now + m_route->targetLatency > *m_context.shutdownDeadline;
}

// The key may have been revoked while the request waited for a slot.
auto EntryRequest::isKeyRevoked() const -> bool
{
    const auto& current = m_context.snapshot;
    return m_clientAccount && current != m_snapshot && !current->keys().accountForKey(m_key);
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
        { { "request", m_requestId }, { "peer", m_target->description.address }, { "step", "run" },
            { "outcome", "not-run" }, { "why", "retry budget exhausted" },
            { "calls", encodeCallsPerRequest(m_context.callsPerRequest[m_service]) } });
    stopTrying("no further attempt in the budget");
}

// Gives back the slot that was reserved and ends the request.
auto EntryRequest::stopTrying(std::string_view why) -> void
{
    m_context.peerClient.cancel(m_call);
    endAttempt();
    m_stage = Stage::Exhausted;
    m_stopReason = why;
    waitOrFinish();
}

// The same for all attempts of a request and for the same request of another caller.
auto EntryRequest::fingerprint() const -> std::uint64_t
{
    const auto& request = m_exchange->request();
    const auto host = request.headers.find("Host").value_or("");
    return hashOf(request.body, hashOf(request.method + ' ' + std::string(host) + request.target));
}

auto EntryRequest::crashesTargets() const -> bool
{
    return m_context.crashRegistry.hasMarks() && m_context.crashRegistry.crashesTargets(fingerprint());
}

// The target ended the connection while it executed the request. It may have crashed because of the request, so the
// request is retried only if it hasn't crashed others.
auto EntryRequest::onCrash(const std::string& target) -> void
{
    const CrashReport report { .fingerprint = fingerprint(), .target = target };
    if (!isIdempotent()) {
        CrashReporter::start(m_context, report, nullptr);
        fail(http::statusBadGateway, "the target ended the connection");
        return;
    }
    m_crashReporter
        = CrashReporter::start(m_context, report, [weak = weak_from_this()](std::optional<std::size_t> crashes) {
              const auto self = weak.lock();
              if (self && !self->m_isDone)
                  self->onCrashesCounted(crashes);
          });
}

auto EntryRequest::onCrashesCounted(std::optional<std::size_t> crashes) -> void
{
    if (!crashes || *crashes >= dispatch::CrashTracker::s_maximumCrashes) {
        fail(http::statusBadGateway, "the request crashes targets");
        return;
    }
    constexpr std::string_view why = "the target ended the connection";
    retryOrFinish(http::makeAnswer(http::statusBadGateway, "text/plain", std::string(why)), why);
}

// Clears a request that was thought to crash targets, or that ran on one that crashed.
auto EntryRequest::recordSuccess() -> void
{
    auto& registry = m_context.crashRegistry;
    if (!registry.isEmpty() && registry.tryBeginSuccessReport(fingerprint(), monotonicNow()))
        CrashReporter::start(m_context, { .fingerprint = fingerprint(), .target = {}, .hasSucceeded = true }, nullptr);
}

auto EntryRequest::sendRequest() -> void
{
    const auto now = monotonicNow();
    RunRequest message { .request = m_exchange->request(),
        .requestId = m_requestId,
        .callerService = m_context.service,
        .clientAccount = m_clientAccount ? m_clientAccount->name : "",
        .isIdempotent = isIdempotent(),
        .timeLeft = timeLeft(now),
        .targetLatencyLeft = targetLatencyLeft(now),
        .expiresAt = {} };
    if (const auto storeTime = m_context.configurationFreshness.storeTime(SuspendAwareClock::now()))
        message.expiresAt = *storeTime + message.timeLeft;
    const bool isSent = m_context.peerClient.sendNext(m_call, encodeRunRequest(message),
        { .timeout = timeLeft(now) + peerTimeoutMargin, .isHead = message.request.method == "HEAD" },
        [self = shared_from_this()](net::HttpClient::Result result) { self->onRunResult(std::move(result)); });
    if (!isSent) {
        m_excludedTargets.push_back(m_target->description.address);
        endAttempt();
        tryNextTarget();
        return;
    }
    if (m_attempts++ > 0)
        ++m_context.counters.retries;
}

// Takes back an attempt that did not reach the target. Its charge on the retry budget covers the next attempt.
auto EntryRequest::undoAttempt() -> void
{
    --m_attempts;
    m_hasUnusedRetry = m_attempts > 0;
    if (m_hasUnusedRetry)
        --m_context.counters.retries;
}

auto EntryRequest::outcomeOf(const http::Answer& response) const -> RunOutcome
{
    // Peers of earlier versions pass on such a status of their target, and its headers before their own.
    if (response.headers.count(outcomeHeader) > 1)
        return RunOutcome::MayHaveRun;
    const auto outcome = parseOutcome(response.headers.find(outcomeHeader).value_or(""));
    const bool isAmbiguous = outcome == RunOutcome::Answered && !isIdempotent() && isTakenForNotRun(response.status);
    return isAmbiguous ? RunOutcome::MayHaveRun : outcome.value_or(RunOutcome::MayHaveRun);
}

auto EntryRequest::onRunResult(net::HttpClient::Result result) -> void
{
    if (m_isDone)
        return;
    if (const auto* failure = std::get_if<http::ExchangeFailure>(&result)) {
        log::logEvent(attemptEnded,
            { { "request", m_requestId }, { "peer", m_target->description.address }, { "step", "run" },
                { "outcome", "may-have-run" }, { "why", failure->error.toText() } });
        m_context.loadBalancer.recordPathFailure(*m_target, monotonicNow());
        m_mayHaveRun = true;
        m_excludedTargets.push_back(m_target->description.address);
        endAttempt();
        retryOrFinish(http::makeAnswer(http::statusBadGateway, "text/plain", "the way to the target broke"),
            "the way to the target broke");
        return;
    }
    auto response = std::get<http::Answer>(std::move(result));
    applyLoadReport(response);
    const auto outcome = outcomeOf(response);
    const auto target = m_target->description.address;
    m_excludedTargets.push_back(target);
    if (outcome == RunOutcome::Answered) {
        onTargetResponse(std::move(response));
        return;
    }
    log::logEvent(attemptEnded,
        { { "request", m_requestId }, { "peer", m_target->description.address }, { "step", "run" },
            { "outcome", std::string(outcomeName(outcome)) }, { "status", std::to_string(response.status) } });
    if (outcome == RunOutcome::NotRun)
        recordRejection();
    endAttempt();
    if (outcome == RunOutcome::NotSent)
        undoAttempt();
    if (outcome == RunOutcome::NotSent || outcome == RunOutcome::NotRun) {
        tryNextTarget();
        return;
    }
    m_mayHaveRun = true;
    if (outcome == RunOutcome::ConnectionLost) {
        onCrash(target);
        return;
    }
    const int status
        = response.status == http::statusGatewayTimeout ? http::statusGatewayTimeout : http::statusBadGateway;
    retryOrFinish(
        http::makeAnswer(status, "text/plain", "the target gave no whole answer"), "the target gave no whole answer");
}

auto EntryRequest::onTargetResponse(http::Answer response) -> void
{
    response.headers.removeAll(outcomeHeader);
    response.headers.removeAll(loadHeader);
    endAttempt();
    if (response.status < http::firstServerError) {
        recordResponseSize(response);
        recordSuccess();
        finish(std::move(response), "answered");
        return;
    }
    m_mayHaveRun = true;
    m_lastErrorResponse = response;
    retryOrFinish(std::move(response), "the target's failure");
}

auto EntryRequest::retryOrFinish(http::Answer lastResponse, std::string_view why) -> void
{
    const auto now = monotonicNow();
    const bool hasTime = timeLeft(now) > m_route->targetLatency / 4;
    if (isIdempotent() && m_attempts < m_route->maximumAttempts && hasTime) {
        m_stage = Stage::NoWait;
        m_triesInStage = 0;
        tryNextTarget();
        return;
    }
    finish(std::move(lastResponse), why);
}

auto EntryRequest::onDeadline() -> void
{
    if (m_isDone)
        return;
    const auto call = m_call;
    endAttempt();
    m_context.peerClient.cancel(call);
    if (m_attempts > 0)
        fail(http::statusGatewayTimeout, "no answer in time");
    else
        refuse(http::statusUnavailable, "no slot before the deadline", overloadRetryAfter());
}

auto EntryRequest::cancel() -> void
{
    m_isDone = true;
    const auto call = m_call;
    endAttempt();
    m_context.peerClient.cancel(call);
    m_deadlineTimer.cancel();
    m_waitTimer.cancel();
}

auto EntryRequest::onCallerDisconnected() -> void
{
    if (m_isDone)
        return;
    cancel();
    ++m_context.counters.endedByReason["caller left"];
    log::logEvent(requestEnded,
        { { "request", m_requestId }, { "status", "none" }, { "why", "caller left" },
            { "ms",
                std::to_string(std::chrono::duration_cast<milliseconds>(monotonicNow() - m_receivedAt).count()) } });
}

auto EntryRequest::refuse(int status, std::string_view why, std::optional<milliseconds> retryAfter) -> void
{
    auto response = http::makeAnswer(status, "text/plain", std::string(why));
    if (retryAfter) {
        const auto wait
            = std::clamp(*retryAfter, m_context.options.minimumRetryAfter, m_context.options.maximumRetryAfter);
        response.headers.add(m_context.headers.retryAfter, secondsText(wait));
    }
    finish(std::move(response), why);
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
        std::exchange(m_rateLimitCheck, nullptr)->cancel(); // refers to the account in this request's snapshot
    const auto latency = std::chrono::duration_cast<milliseconds>(monotonicNow() - m_receivedAt);
    ++m_context.counters.endedByReason[std::to_string(response.status) + " " + std::string(why)];
    if (why == "answered")
        m_context.counters.recordLatency(latency);
    const auto configurationAge = m_context.configurationFreshness.age(SuspendAwareClock::now());
    const auto hostListAge = m_context.hostListFreshness.age(SuspendAwareClock::now());
    log::logEvent(requestEnded,
        { { "request", m_requestId }, { "status", std::to_string(response.status) }, { "why", std::string(why) },
            { "ms", std::to_string(latency.count()) }, { "route", m_route ? m_route->name : "" },
            { "service", m_service }, { "account", m_clientAccount ? m_clientAccount->name : "" },
            { "runs", std::to_string(m_attempts) }, { "rejections", std::to_string(m_rejectingAddresses.size()) },
            { "version", m_snapshot ? std::to_string(m_snapshot->configuration().version) : "" },
            { "proof-age-ms", configurationAge ? std::to_string(configurationAge->count()) : "" },
            { "hosts-age-ms", hostListAge ? std::to_string(hostListAge->count()) : "" } });
    if (!m_requestId.empty() && !response.headers.find(m_context.headers.requestId))
        response.headers.add(m_context.headers.requestId, m_requestId);
    m_exchange->answer(std::move(response));
}

} // namespace coriandergate::relay
