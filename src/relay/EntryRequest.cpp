#include "relay/EntryRequest.h"

#include "http/Exchange.h"
#include "http/Status.h"
#include "log/Event.h"
#include "relay/AttemptEvent.h"
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
        "one line a request: its status, why, and what was known when it was decided" };

    // An answer that goes to a caller must be on its way before the caller's own clock runs out.
    constexpr milliseconds answerMargin { 30 };
    // A hop's own timeout lies behind the request's, so that it speaks of the way and not of a caller's little time.
    constexpr milliseconds giveUpFirst { 1000 };
    // How often a request looks for a target while none can be used.
    constexpr milliseconds noTargetPause { 60 };
    // Part of the time left that a request which can only be answered late may wait for a slot.
    constexpr double latePart = 0.5;

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
            self->onAbandoned();
    });
    const auto newsUntil = context.startedAt + context.options.startupWait;
    if (!context.isReady && monotonicNow() < newsUntil)
        request->waitForNews(newsUntil);
    else
        request->begin();
}

auto EntryRequest::waitForNews(MonotonicTime until) -> void
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
    , m_exchange(std::move(exchange))
    , m_requestId(m_exchange->request().headers.find(context.headers.requestId).value_or(""))
    , m_readAt(monotonicNow())
    , m_giveUpTimer(context.io)
    , m_waitTimer(context.io)
{
}

auto EntryRequest::isRepeatable() const -> bool { return m_route->repeatPolicy == config::RepeatPolicy::Idempotent; }

auto EntryRequest::claim() const -> dispatch::AttemptBudget::Claim
{
    using Claim = dispatch::AttemptBudget::Claim;
    return isCallOfTarget() || m_route->priority <= m_snapshot->highestPriority(m_service) ? Claim::Urgent
                                                                                           : Claim::LessUrgent;
}

// A call that a target makes comes without a key. The run that made it fails without it, and its work is lost.
auto EntryRequest::isCallOfTarget() const -> bool { return !m_clientAccount; }

auto EntryRequest::left(MonotonicTime now) const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(m_giveUpAt - now);
}

auto EntryRequest::latencyLeft(MonotonicTime now) const -> milliseconds
{
    return std::chrono::duration_cast<milliseconds>(m_readAt + m_route->targetLatency - now);
}

auto EntryRequest::begin() -> void
{
    if (m_isDone || m_hasBegun)
        return;
    m_hasBegun = true;
    m_waitTimer.cancel();
    m_snapshot = m_context.snapshot;
    const auto& headers = m_exchange->request().headers;
    if (!m_snapshot) {
        constexpr milliseconds soon { 500 };
        refuse(http::statusUnavailable, "no configuration yet", soon);
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
    if (!checkKey())
        return;
    m_context.openRequests[this] = weak_from_this();
    armGiveUpTimer();
    checkRate();
}

auto EntryRequest::armGiveUpTimer() -> void
{
    m_giveUpTimer.expires_at(m_giveUpAt);
    m_giveUpTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->onGiveUp();
    });
}

auto EntryRequest::capDeadline(MonotonicTime time) -> void
{
    if (m_isDone || m_giveUpAt <= time)
        return;
    m_giveUpAt = time;
    armGiveUpTimer();
}

EntryRequest::~EntryRequest()
{
    if (m_rateCheck)
        m_rateCheck->cancel(); // it refers to the account in this request's snapshot
    m_context.openRequests.erase(this);
}

auto EntryRequest::readDeadline() -> void
{
    auto allowed = m_route->deadline;
    const auto stated = m_exchange->request().headers.find(m_context.headers.deadline);
    milliseconds::rep number = 0;
    if (stated && std::from_chars(stated->data(), stated->data() + stated->size(), number).ec == std::errc {}
        && number >= 0)
        allowed = std::min(allowed, std::max(milliseconds { 1 }, milliseconds(number) - answerMargin));
    m_giveUpAt = m_readAt + allowed;
    if (m_context.shutdownDeadline)
        m_giveUpAt = std::min(m_giveUpAt, *m_context.shutdownDeadline);
}

auto EntryRequest::checkKey() -> bool
{
    if (m_route->isOpen || m_snapshot->configuration().clientAccounts.empty())
        return true;
    const auto now = SuspendAwareClock::now();
    if (!m_context.configurationFreshness.isFresh(now) || !m_context.hostListFreshness.isFresh(now)) {
        constexpr milliseconds soon { 1000 };
        refuse(http::statusUnavailable, "the configuration may be out of date", soon);
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

auto EntryRequest::checkRate() -> void
{
    if (!m_clientAccount || m_clientAccount->isUnlimited) {
        onWithinRate();
        return;
    }
    m_rateCheck = RateLimitCheck::start(m_context,
        { .account = *m_clientAccount, .requestId = m_requestId, .timeLeft = left(monotonicNow()) },
        [weak = weak_from_this()](const dispatch::RatePool::Decision& decision) {
            const auto self = weak.lock();
            if (self && !self->m_isDone)
                self->onRateDecision(decision);
        });
}

auto EntryRequest::onRateDecision(const dispatch::RatePool::Decision& decision) -> void
{
    if (decision.isGranted)
        onWithinRate();
    else if (decision.turnIn)
        refuse(http::statusTooManyRequests, "over the rate", decision.turnIn);
    else
        refuse(http::statusUnavailable, "the rate can't be checked", m_context.options.rateLimitOwnerBackoff);
}

auto EntryRequest::onWithinRate() -> void
{
    prepare();
    place();
}

auto EntryRequest::prepare() -> void
{
    m_service = PolicySnapshot::chooseService(*m_route, m_context.random());
    if (isCallOfTarget())
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

auto EntryRequest::chooseTarget() -> dispatch::TargetBoard::TargetPointer
{
    const auto now = monotonicNow();
    // A request is a trial only where it can be sent again when the trial fails.
    const bool mayTry = isRepeatable() && m_runs == 0 && m_route->maximumAttempts > 1
        && m_context.retryBudget.mayTake(m_service, m_context.callsPerRun[m_service],
            dispatch::AttemptBudget::Claim::Trial, m_context.hostCount, now);
    return m_context.targets.choose(
        { .service = m_service, .isRepeatable = mayTry, .distanceFactor = distanceFactor(), .excluded = m_excluded },
        now, m_context.random());
}

// Large answers are kept near: the links between data centres and regions are narrow and shared by all.
auto EntryRequest::distanceFactor() const -> double
{
    const auto known = m_context.meanResponseBytes.find(m_route->name);
    const double bytes = known == m_context.meanResponseBytes.end() ? 0 : known->second;
    return std::min(m_context.options.maximumDistanceFactor, 1 + bytes / m_context.options.distanceDoublingBytes);
}

auto EntryRequest::noteAnswerSize(const http::Answer& answer) -> void
{
    constexpr double newestWeight = 0.1; // the last ten answers count
    auto& mean = m_context.meanResponseBytes[m_route->name];
    mean += newestWeight * (static_cast<double>(answer.body.size()) - mean);
}

auto EntryRequest::advanceStage() -> void
{
    m_triesInStage = 0;
    switch (m_stage) {
    case Stage::Quick:
        m_stage = Stage::Waiting;
        return;
    case Stage::Waiting:
        m_stage = Stage::Late;
        return;
    case Stage::Late:
    case Stage::Over:
        m_stage = Stage::Over;
        return;
    }
}

auto EntryRequest::place() -> void
{
    const auto& options = m_context.options;
    const auto tries = [&options](Stage stage) -> std::size_t {
        switch (stage) {
        case Stage::Quick:
            return options.noWaitTries;
        case Stage::Waiting:
            return options.targetLatencyTries;
        case Stage::Late:
            return options.deadlineTries;
        case Stage::Over:
            return 0;
        }
        return 0;
    };
    while (m_stage != Stage::Over) {
        m_target = m_triesInStage < tries(m_stage) ? chooseTarget() : nullptr;
        if (m_target) {
            ++m_triesInStage;
            reserve();
            return;
        }
        advanceStage();
        if (m_stage == Stage::Waiting)
            m_excluded.clear();
    }
    retryLater();
}

// No target can be used now. While the request could still be answered in time another may come free or come back;
// after that it is refused.
auto EntryRequest::retryLater() -> void
{
    const auto now = monotonicNow();
    if (m_slotRefusals == 0 && !m_isOutOfAttempts && latencyLeft(now) > noTargetPause) {
        m_stage = Stage::Quick;
        m_triesInStage = 0;
        m_excluded.clear();
        m_waitTimer.expires_after(noTargetPause);
        m_waitTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error && !self->m_isDone)
                self->place();
        });
        return;
    }
    if (m_lastFailure)
        finish(std::move(*m_lastFailure), "the target's failure");
    else if (m_mayHaveRun)
        fail(http::statusBadGateway, "no target left after one may have run it");
    else
        refuse(http::statusUnavailable, m_isOutOfAttempts ? "no further attempt in the budget" : "no slot in time",
            noRoomRetryAfter());
}

auto EntryRequest::noRoomRetryAfter() -> milliseconds
{
    // Spread over as much time as the targets need to work off what is ahead of a newcomer.
    const auto now = monotonicNow();
    const double mean = m_context.targets.typicalFill(m_service, now);
    const auto base = static_cast<double>(m_route->targetLatency.count()) * std::clamp(mean, 0.3, 2.0) / 2;
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const milliseconds wait(std::llround(base * spread(m_context.random)));
    return std::clamp(wait, m_context.options.minimumRetryAfter, m_context.options.maximumRetryAfter);
}

auto EntryRequest::patience(MonotonicTime now) const -> milliseconds
{
    switch (m_stage) {
    case Stage::Quick:
    case Stage::Over:
        return milliseconds { 0 };
    case Stage::Waiting:
        return std::max(milliseconds { 0 }, latencyLeft(now));
    case Stage::Late:
        return std::chrono::duration_cast<milliseconds>(left(now) * latePart);
    }
    return milliseconds { 0 };
}

auto EntryRequest::reserve() -> void
{
    const auto now = monotonicNow();
    m_context.targets.start(*m_target);
    const auto wait = patience(now);
    const ReserveRequest ask { .requestId = m_requestId,
        .service = m_service,
        .priority = m_priority,
        .isRepeatable = isRepeatable(),
        .targetLatencyLeft = latencyLeft(now),
        .patience = wait,
        .takesFailing = m_context.targets.mostFail(m_service, now),
        .isServedLate = m_stage == Stage::Late };
    const bool isFar = m_target->description.locality.region != m_context.locality.region;
    const auto peerTimeout = isFar ? m_context.options.crossRegionPeerTimeout : m_context.options.peerTimeout;
    m_call = m_context.peerClient.send(m_target->description.address, encodeReserveRequest(ask),
        { .timeout = wait + peerTimeout, .keepsConnection = true },
        [self = shared_from_this()](net::HttpClient::Result result) { self->onReserved(std::move(result)); });
}

auto EntryRequest::endAttempt() -> void
{
    if (m_rateCheck)
        std::exchange(m_rateCheck, nullptr)->cancel();
    if (m_loan)
        std::exchange(m_loan, nullptr)->cancel();
    if (m_target)
        m_context.targets.finish(*m_target);
    m_target = nullptr;
    m_call = 0;
}

auto EntryRequest::takeNews(const http::Answer& answer) -> void
{
    const auto text = answer.headers.find(loadHeader);
    const auto news = text ? decodeLoadReport(*text) : std::nullopt;
    if (!news)
        return;
    const auto now = monotonicNow();
    m_context.targets.recordPath(*m_target);
    m_context.targets.recordLoad(*m_target, news->load, news->rejectionRate, now);
    if (news->nextTrialIn)
        m_context.targets.recordFailing(*m_target, *news->nextTrialIn, now);
    else
        m_context.targets.recordSound(*m_target);
}

auto EntryRequest::onReserved(net::HttpClient::Result result) -> void
{
    if (m_isDone)
        return;
    if (const auto* failure = std::get_if<http::ExchangeFailure>(&result)) {
        ++m_context.counters.pathFailures;
        log::logEvent(attemptEnded,
            { { "request", m_requestId }, { "peer", m_target->description.address }, { "step", "reserve" },
                { "outcome", "not-run" }, { "why", failure->error.toText() } });
        // An idle connection that the peer had closed says nothing of the path.
        if (!(failure->wasReusedConnection && failure->wasReset))
            m_context.targets.recordPathFailure(*m_target, monotonicNow());
        if (failure->wasReset || failure->wasTimeout)
            m_excluded.push_back(m_target->description.address);
        endAttempt();
        place();
        return;
    }
    const auto& answer = std::get<http::Answer>(result);
    takeNews(answer);
    if (answer.status == http::statusOk) {
        if (const auto calls = answer.headers.find(callsHeader))
            m_context.callsPerRun[m_service] = decodeCallsPerRun(*calls);
        run();
        return;
    }
    onSlotRefused(answer);
}

auto EntryRequest::onSlotRefused(const http::Answer& answer) -> void
{
    m_context.peerClient.release(m_call);
    // A target without a free slot may have one later; one that leaves or fails won't.
    constexpr milliseconds leavingPause { 1000 };
    if (answer.body == noSlotInTime)
        ++m_slotRefusals;
    else if (answer.body != targetIsFailing)
        m_context.targets.avoid(*m_target, monotonicNow() + leavingPause);
    m_excluded.push_back(m_target->description.address);
    endAttempt();
    place();
}

auto EntryRequest::run() -> void
{
    if (isKeyWithdrawn()) {
        m_context.peerClient.cancel(m_call);
        endAttempt();
        if (m_mayHaveRun)
            fail(http::statusBadGateway, "the key was withdrawn after a target may have run it");
        else
            refuse(http::statusUnauthorized, "the key was withdrawn", std::nullopt);
        return;
    }
    const bool isInBudget = m_runs == 0 || std::exchange(m_holdsAttempt, false)
        || m_context.retryBudget.take(
            m_service, m_context.callsPerRun[m_service], claim(), m_context.hostCount, monotonicNow());
    if (isInBudget)
        sendRun();
    else
        borrowAttempt();
}

// The key may have been withdrawn while the request waited.
auto EntryRequest::isKeyWithdrawn() const -> bool
{
    const auto& current = m_context.snapshot;
    return m_clientAccount && current != m_snapshot && !current->keys().accountForKey(m_key);
}

auto EntryRequest::borrowAttempt() -> void
{
    m_loan = RetryBorrower::start(m_context, { .service = m_service, .calls = m_context.callsPerRun[m_service] },
        [weak = weak_from_this()](bool isLent) {
            const auto self = weak.lock();
            if (!self || self->m_isDone)
                return;
            if (isLent)
                self->sendRun();
            else
                self->onOutOfAttempts();
        });
}

auto EntryRequest::onOutOfAttempts() -> void
{
    log::logEvent(attemptEnded,
        { { "request", m_requestId }, { "peer", m_target->description.address }, { "step", "run" },
            { "outcome", "not-run" }, { "why", "no further attempt in the budget" },
            { "calls", encodeCallsPerRun(m_context.callsPerRun[m_service]) } });
    m_context.peerClient.cancel(m_call);
    endAttempt();
    m_stage = Stage::Over;
    m_isOutOfAttempts = true;
    retryLater();
}

auto EntryRequest::sendRun() -> void
{
    const auto now = monotonicNow();
    RunRequest ask { .request = m_exchange->request(),
        .requestId = m_requestId,
        .callerService = m_context.service,
        .clientAccount = m_clientAccount ? m_clientAccount->name : "",
        .isRepeatable = isRepeatable(),
        .timeLeft = left(now),
        .targetLatencyLeft = latencyLeft(now),
        .expiresAt = {} };
    if (const auto storeTime = m_context.configurationFreshness.storeTime(SuspendAwareClock::now()))
        ask.expiresAt = *storeTime + ask.timeLeft;
    const bool isSent = m_context.peerClient.sendNext(m_call, encodeRunRequest(ask),
        { .timeout = left(now) + giveUpFirst, .isHead = ask.request.method == "HEAD" },
        [self = shared_from_this()](net::HttpClient::Result result) { self->onRun(std::move(result)); });
    if (!isSent) {
        m_excluded.push_back(m_target->description.address);
        endAttempt();
        place();
        return;
    }
    if (m_runs++ > 0)
        ++m_context.counters.retries;
}

// An attempt that never arrived at its target isn't one: what it took of the budget holds for the next.
auto EntryRequest::takeBackAttempt() -> void
{
    --m_runs;
    m_holdsAttempt = m_runs > 0;
    if (m_holdsAttempt)
        --m_context.counters.retries;
}

auto EntryRequest::onRun(net::HttpClient::Result result) -> void
{
    if (m_isDone)
        return;
    if (const auto* failure = std::get_if<http::ExchangeFailure>(&result)) {
        log::logEvent(attemptEnded,
            { { "request", m_requestId }, { "peer", m_target->description.address }, { "step", "run" },
                { "outcome", "may-have-run" }, { "why", failure->error.toText() } });
        m_context.targets.recordPathFailure(*m_target, monotonicNow());
        m_mayHaveRun = true;
        m_excluded.push_back(m_target->description.address);
        endAttempt();
        tryAgainOr(http::makeAnswer(http::statusBadGateway, "text/plain", "the way to the target broke"),
            "the way to the target broke");
        return;
    }
    auto answer = std::get<http::Answer>(std::move(result));
    takeNews(answer);
    const auto outcome = parseOutcome(answer.headers.find(outcomeHeader).value_or(""));
    m_excluded.push_back(m_target->description.address);
    if (outcome == RunOutcome::Answered) {
        onTargetAnswer(std::move(answer));
        return;
    }
    log::logEvent(attemptEnded,
        { { "request", m_requestId }, { "peer", m_target->description.address }, { "step", "run" },
            { "outcome", std::string(outcomeName(outcome.value_or(RunOutcome::MayHaveRun))) },
            { "status", std::to_string(answer.status) } });
    endAttempt();
    if (outcome == RunOutcome::NotSent)
        takeBackAttempt();
    if (outcome == RunOutcome::NotSent || outcome == RunOutcome::NotRun) {
        place();
        return;
    }
    m_mayHaveRun = true;
    const int status
        = answer.status == http::statusGatewayTimeout ? http::statusGatewayTimeout : http::statusBadGateway;
    tryAgainOr(
        http::makeAnswer(status, "text/plain", "the target gave no whole answer"), "the target gave no whole answer");
}

auto EntryRequest::onTargetAnswer(http::Answer answer) -> void
{
    answer.headers.removeAll(outcomeHeader);
    answer.headers.removeAll(loadHeader);
    endAttempt();
    if (answer.status < http::firstServerError) {
        noteAnswerSize(answer);
        finish(std::move(answer), "answered");
        return;
    }
    m_mayHaveRun = true;
    m_lastFailure = answer;
    tryAgainOr(std::move(answer), "the target's failure");
}

auto EntryRequest::tryAgainOr(http::Answer lastAnswer, std::string_view why) -> void
{
    const auto now = monotonicNow();
    const bool hasTime = left(now) > m_route->targetLatency / 4;
    if (isRepeatable() && m_runs < m_route->maximumAttempts && hasTime) {
        m_stage = Stage::Quick;
        m_triesInStage = 0;
        place();
        return;
    }
    finish(std::move(lastAnswer), why);
}

auto EntryRequest::onGiveUp() -> void
{
    if (m_isDone)
        return;
    const auto call = m_call;
    endAttempt();
    m_context.peerClient.cancel(call);
    if (m_runs > 0)
        fail(http::statusGatewayTimeout, "no answer in time");
    else
        refuse(http::statusUnavailable, "no slot before the deadline", noRoomRetryAfter());
}

auto EntryRequest::onAbandoned() -> void
{
    if (m_isDone)
        return;
    m_isDone = true;
    const auto call = m_call;
    endAttempt();
    m_context.peerClient.cancel(call);
    m_giveUpTimer.cancel();
    m_waitTimer.cancel();
    ++m_context.counters.endedByReason["caller left"];
    log::logEvent(requestEnded,
        { { "request", m_requestId }, { "status", "none" }, { "why", "caller left" },
            { "ms", std::to_string(std::chrono::duration_cast<milliseconds>(monotonicNow() - m_readAt).count()) } });
}

auto EntryRequest::refuse(int status, std::string_view why, std::optional<milliseconds> retryAfter) -> void
{
    auto answer = http::makeAnswer(status, "text/plain", std::string(why));
    if (retryAfter) {
        const auto wait
            = std::clamp(*retryAfter, m_context.options.minimumRetryAfter, m_context.options.maximumRetryAfter);
        answer.headers.add(m_context.headers.retryAfter, secondsText(wait));
    }
    finish(std::move(answer), why);
}

auto EntryRequest::fail(int status, std::string_view why) -> void
{
    finish(http::makeAnswer(status, "text/plain", std::string(why)), why);
}

auto EntryRequest::finish(http::Answer answer, std::string_view why) -> void
{
    m_isDone = true;
    m_giveUpTimer.cancel();
    m_waitTimer.cancel();
    const auto took = std::chrono::duration_cast<milliseconds>(monotonicNow() - m_readAt);
    ++m_context.counters.endedByReason[std::to_string(answer.status) + " " + std::string(why)];
    if (why == "answered")
        m_context.counters.recordLatency(took);
    const auto proofAge = m_context.configurationFreshness.age(SuspendAwareClock::now());
    const auto hostsAge = m_context.hostListFreshness.age(SuspendAwareClock::now());
    log::logEvent(requestEnded,
        { { "request", m_requestId }, { "status", std::to_string(answer.status) }, { "why", std::string(why) },
            { "ms", std::to_string(took.count()) }, { "route", m_route ? m_route->name : "" }, { "service", m_service },
            { "account", m_clientAccount ? m_clientAccount->name : "" }, { "runs", std::to_string(m_runs) },
            { "version", m_snapshot ? std::to_string(m_snapshot->configuration().version) : "" },
            { "proof-age-ms", proofAge ? std::to_string(proofAge->count()) : "" },
            { "hosts-age-ms", hostsAge ? std::to_string(hostsAge->count()) : "" } });
    if (!m_requestId.empty() && !answer.headers.find(m_context.headers.requestId))
        answer.headers.add(m_context.headers.requestId, m_requestId);
    m_exchange->answer(std::move(answer));
}

} // namespace coriandergate::relay
