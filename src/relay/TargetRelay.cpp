#include "relay/TargetRelay.h"

#include "fleet/LocalTarget.h"
#include "http/Exchange.h"
#include "http/Problem.h"
#include "http/Serialize.h"
#include "http/Status.h"
#include "log/Event.h"
#include "relay/LocalPlacement.h"

#include <algorithm>

namespace coriandergate::relay {

using dispatch::SlotQueue;
using dispatch::TargetHealth;
using std::chrono::milliseconds;

namespace {

    const log::Event runEnded { 1911, log::Severity::Info, "run ended",
        "outcome of one attempt at the target on this host" };
    const log::Event targetStartedFailing { 1912, log::Severity::Warning, "target fails",
        "it receives only probes until it recovers; check its own logs" };
    const log::Event targetRecovered { 1913, log::Severity::Info, "target is sound again", "nothing" };
    const log::Event lateResponse { 1914, log::Severity::Warning, "late response skipped",
        "the target responded once more to a request that had ended; the request, the status, and whether it was a "
        "rejection" };

    const log::Event targetTurnedCold { 1970, log::Severity::Info, "target is cold",
        "it told so, or may have started anew; it gets few requests until it is warm, and entries use others" };
    const log::Event targetTurnedWarm { 1971, log::Severity::Info, "target is warm", "nothing" };

    // Why a request with a slot isn't sent.
    constexpr std::string_view arrivalsAtLimit = "the target may get no more requests in this second";
    // Weight of the newest request in the moving average of rejections; it spans about the last eight requests.
    constexpr double rejectionWeight = 0.12;

    auto millisecondsSince(MonotonicTime start, MonotonicTime now) -> milliseconds
    {
        return std::chrono::duration_cast<milliseconds>(now - start);
    }

} // namespace

// Run is one execution of a request by the target. It holds the slot until it is done.
struct TargetRelay::Run {
    std::shared_ptr<http::Exchange> exchange;
    std::string requestId;
    std::string target; // "id/start time"; empty if it was never sent
    SlotReservations::Slot slot;
    bool holdsPermit = false; // of the meter of arrivals; ends when the request is sent or given up
    bool isIdempotent = false;
    bool isOnNewConnection = false;
    bool isRecordedAsUnresponsive = false;
    bool isDone = false;
    MonotonicTime startedAt;
    net::HttpClient::Call call = 0;
    std::unique_ptr<boost::asio::steady_timer> unresponsiveTimer;
};

TargetRelay::TargetRelay(boost::asio::io_context& io, const fleet::LocalTarget& target, dispatch::CallRatio& callRatio,
    const Options& options)
    : m_io(io)
    , m_target(target)
    , m_callRatio(callRatio)
    , m_options(options)
    , m_client(io,
          { .connectTimeout = options.targetConnectTimeout,
              .maximumBufferedBytes = options.maximumBufferedAnswerBytes,
              .onSkippedAnswer = [this](const http::Answer& response) { recordLateResponse(response); } })
    , m_slots({})
    , m_health(options.health)
    , m_warmUp(monotonicNow(), { .limitsWarmTarget = options.limitsWarmTarget })
    , m_reservations(io, m_slots, m_health, m_warmUp,
          { .timeout = options.reservationTimeout,
              .addReport = [this](http::HeaderList& headers, MonotonicTime now) { addReport(headers, now); },
              .callsPerRequest =
                  [&callRatio](MonotonicTime now) {
                      const auto calls = callRatio.callsPerRequest(now);
                      return calls ? encodeCallsPerRequest(*calls) : std::string {};
                  } })
{
    if (!options.isArrivalBoundExpected)
        m_warmUp.setBound({});
}

TargetRelay::~TargetRelay() { *m_isAlive = false; }

auto TargetRelay::loadReport(MonotonicTime now) const -> TargetLoadReport
{
    TargetLoadReport report { .load = m_slots.load(), .rejectionRate = m_rejectionRate };
    if (m_health.isFailing())
        report.nextProbeIn = m_health.nextProbeIn(now);
    report.arrivals = m_warmUp.arrivals(now);
    return report;
}

auto TargetRelay::handle(std::shared_ptr<http::Exchange> exchange) -> void
{
    const auto& path = exchange->request().target;
    if (path == reservePath)
        handleReserve(exchange);
    else if (path == runPath)
        handleRun(exchange);
    else
        exchange->answer(http::makeAnswer(404, http::problemContentType, http::problemBody(404, "unknown message")));
}

auto TargetRelay::refusalReason(const ReserveRequest& message) const -> std::string_view
{
    if (m_isStopping)
        return "daemon stops";
    if (!m_isAccepting || !m_target.current())
        return "no target";
    if (m_target.current()->isDraining)
        return "target leaves";
    if (m_target.service() != message.service)
        return "another service";
    if (m_placement && m_placement->isEvacuated())
        return LocalPlacement::s_evacuatedReason;
    return {};
}

auto TargetRelay::handleReserve(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    const auto now = monotonicNow();
    Error reason;
    const auto message = decodeReserveRequest(exchange->request().body, reason);
    if (!message)
        m_reservations.refuse(exchange, {}, reason.reason, now);
    else if (const auto why = refusalReason(*message); !why.empty())
        m_reservations.refuse(exchange, { message->requestId, message->clientAccount }, why, now);
    else
        m_reservations.reserve(exchange, *message, now);
}

auto TargetRelay::addReport(http::HeaderList& headers, MonotonicTime now) const -> void
{
    const auto report = loadReport(now);
    headers.replace(loadHeader, encodeLoadReport(report));
    headers.removeAll(arrivalsHeader); // the target may have sent one too
    if (report.arrivals)
        headers.add(arrivalsHeader, encodeArrivals(*report.arrivals));
}

auto TargetRelay::onTargetChanged() -> void
{
    const auto& current = m_target.current();
    if (!current)
        return;
    m_slots.setSlots(current->slots);
    const auto incarnation = current->id + "/" + std::to_string(current->startedAt);
    const auto now = monotonicNow();
    if (incarnation != m_knownIncarnation) {
        m_health.reset();
        m_warmUp.assumeCold(now);
    }
    m_knownIncarnation = incarnation;
    // A draining target accepts no new requests, so everything that waits is refused.
    if (current->isDraining)
        m_reservations.refuseWaiting("target leaves", now);
    logWarmth(now);
}

auto TargetRelay::onEvacuationsChanged() -> void
{
    const auto now = monotonicNow();
    const bool isEvacuated = m_placement && m_placement->isEvacuated();
    if (isEvacuated)
        m_reservations.refuseWaiting(LocalPlacement::s_evacuatedReason, now);
    else if (m_isEvacuated)
        m_warmUp.assumeCold(now); // an idle target may be cold again
    m_isEvacuated = isEvacuated;
    logWarmth(now);
}

auto TargetRelay::onHeartbeat() -> void
{
    const auto now = monotonicNow();
    if (const auto& current = m_target.current(); current && current->coldRemaining)
        m_warmUp.onHeartbeat(*current->coldRemaining, now);
    logWarmth(now);
    m_reservations.grantWaiting(now);
}

auto TargetRelay::setArrivalBound(const dispatch::WarmUp::Bound& bound) -> void
{
    if (m_warmUp.bound() == bound)
        return;
    m_warmUp.setBound(bound);
    const auto now = monotonicNow();
    logWarmth(now);
    m_reservations.grantWaiting(now);
}

auto TargetRelay::logWarmth(MonotonicTime now) -> void
{
    const bool isCold = m_warmUp.isCold(now);
    if (std::exchange(m_wasCold, isCold) == isCold)
        return;
    log::logEvent(isCold ? targetTurnedCold : targetTurnedWarm,
        { { "target", m_knownIncarnation }, { "arrivals-limit", std::to_string(m_warmUp.limit(now).value_or(0)) } });
}

auto TargetRelay::handleRun(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    const auto run = std::make_shared<Run>();
    run->exchange = exchange;
    Error reason;
    auto message = decodeRunRequest(exchange->request().body, reason);
    exchange->request().body = {};
    run->requestId = message ? message->requestId : "";
    const bool isExpired = m_reservations.forgetExpired(exchange->peer());
    const auto slot = message ? m_reservations.take(exchange->peer()) : std::nullopt;
    if (!slot) {
        // An entry sends a request only once a slot was granted. Without one, something on the way may have sent the
        // request again, and the target may be executing it.
        const auto outcome = !message || isExpired ? RunOutcome::NotSent : RunOutcome::MayHaveRun;
        reply(*run, outcome, http::makeAnswer(http::statusUnavailable, "text/plain", ""),
            message ? "no slot was granted on this connection" : reason.reason);
        return;
    }
    run->isIdempotent = message->isIdempotent;
    run->slot = *slot;
    run->holdsPermit = true;
    const bool acceptsFailingTarget = slot->isProbe || slot->acceptsFailingTarget;
    if (!m_target.isServing()) {
        finishRun(*run, std::nullopt);
        reply(*run, RunOutcome::NotSent, http::makeAnswer(http::statusUnavailable, "text/plain", ""),
            "the target is leaving");
        return;
    }
    if (const auto why = m_placement ? m_placement->objection(*message) : std::string_view {}; !why.empty()) {
        finishRun(*run, std::nullopt);
        reply(*run, RunOutcome::NotSent, http::makeAnswer(http::statusUnavailable, "text/plain", ""), why);
        return;
    }
    // The target may have started to fail after the slot was granted.
    if (m_health.isFailing() && !acceptsFailingTarget) {
        finishRun(*run, std::nullopt);
        reply(*run, RunOutcome::NotSent, http::makeAnswer(http::statusUnavailable, "text/plain", ""), targetIsFailing);
        return;
    }
    // The bound, or what is known of the target, may have changed after the slot was granted.
    if (!m_warmUp.maySend(monotonicNow())) {
        m_reservations.countHeldBack();
        finishRun(*run, std::nullopt);
        reply(*run, RunOutcome::NotSent, http::makeAnswer(http::statusUnavailable, "text/plain", ""), arrivalsAtLimit);
        return;
    }
    const auto storeTime = m_storeClock ? m_storeClock() : std::nullopt;
    if (message->expiresAt && storeTime)
        message->timeLeft = std::min(message->timeLeft, *message->expiresAt - *storeTime);
    if (message->timeLeft <= milliseconds { 0 }) {
        finishRun(*run, std::nullopt);
        reply(*run, RunOutcome::NotSent, http::makeAnswer(http::statusUnavailable, "text/plain", ""),
            "the deadline has passed");
        return;
    }
    sendToTarget(run, std::move(*message));
}

auto TargetRelay::makeTargetRequest(const RunRequest& message, milliseconds timeLeft) const -> http::Request
{
    const auto& headerNames = m_options.headers;
    auto request = message.request;
    request.headers.replace(headerNames.deadline, std::to_string(timeLeft.count()));
    request.headers.replace(headerNames.expectedTarget, m_target.current()->id);
    request.headers.replace(headerNames.callerService, message.callerService);
    request.headers.removeAll(headerNames.clientAccount);
    if (!message.clientAccount.empty())
        request.headers.add(headerNames.clientAccount, message.clientAccount);
    return request;
}

auto TargetRelay::sendToTarget(const std::shared_ptr<Run>& run, RunRequest message) -> void
{
    run->startedAt = monotonicNow();
    m_runningPriorities.add(run->slot.priority);
    const auto request = makeTargetRequest(message, message.timeLeft);
    const net::HttpClient::SendOptions options { .timeout = message.timeLeft,
        .maximumAnswerBytes = m_options.maximumAnswerBytes,
        .isHead = request.method == "HEAD",
        .mayEndWithConnection = true,
        .maximumIdleAge = message.isIdempotent ? milliseconds::max() : m_options.nonIdempotentMaximumIdleAge,
        .onSending =
            [this, alive = m_isAlive, run] {
                if (*alive && std::exchange(run->holdsPermit, false))
                    m_warmUp.recordSent(monotonicNow());
            },
        .answerIdHeader = m_options.headers.requestId,
        .answerId = message.requestId };
    run->target = m_knownIncarnation;
    const auto connectionsBefore = m_client.connectionsOpened();
    run->call = m_client.send(m_target.address(), http::serializeRequest(request), options,
        [this, alive = m_isAlive, run](net::HttpClient::Result result) {
            if (*alive)
                onTargetResult(run, std::move(result));
        });
    run->isOnNewConnection = m_client.connectionsOpened() > connectionsBefore;
    run->exchange->onAbandoned([this, alive = m_isAlive, run] {
        if (!*alive || run->isDone)
            return;
        m_client.cancel(run->call);
        log::logEvent(runEnded,
            { { "request", run->requestId }, { "target", run->target }, { "outcome", "cancelled" },
                { "ms", std::to_string(millisecondsSince(run->startedAt, monotonicNow()).count()) } });
        finishRun(*run, std::nullopt);
    });
    run->unresponsiveTimer = std::make_unique<boost::asio::steady_timer>(
        m_io, std::max(message.targetLatencyLeft, 3 * m_slots.meanServiceTime()));
    run->unresponsiveTimer->async_wait([this, alive = m_isAlive, run](const boost::system::error_code& error) {
        if (!error && *alive)
            onUnresponsive(run);
    });
}

auto TargetRelay::onUnresponsive(const std::shared_ptr<Run>& run) -> void
{
    if (run->isDone)
        return;
    // A target that has responded to any request since this one started is slow rather than unresponsive.
    if (m_lastResponseAt > run->startedAt)
        return;
    run->isRecordedAsUnresponsive = true;
    recordOutcome(TargetHealth::Outcome::Unresponsive, "no response to any request since this one started");
}

auto TargetRelay::recordOutcome(TargetHealth::Outcome outcome, std::string_view why) -> void
{
    if (!m_health.recordOutcome(outcome, monotonicNow()))
        return;
    const auto& target = m_target.current();
    log::logEvent(m_health.isFailing() ? targetStartedFailing : targetRecovered,
        { { "target", target ? target->id : "" }, { "why", std::string(why) },
            { "failure-share", std::to_string(m_health.failureRate()) } });
}

auto TargetRelay::finishRun(Run& run, std::optional<milliseconds> serviceTime) -> void
{
    run.isDone = true;
    run.unresponsiveTimer.reset();
    if (run.slot.isProbe)
        m_health.endProbe();
    if (run.startedAt != MonotonicTime {})
        m_runningPriorities.remove(run.slot.priority);
    if (std::exchange(run.holdsPermit, false))
        m_warmUp.giveBack();
    m_slots.release(serviceTime, run.slot.ticket);
    m_reservations.grantWaiting(monotonicNow());
}

auto TargetRelay::reply(Run& run, RunOutcome outcome, http::Answer response, std::string_view why) -> void
{
    const auto now = monotonicNow();
    const auto load = encodeLoadReport(loadReport(now));
    log::logEvent(runEnded,
        { { "request", run.requestId }, { "target", run.target },
            { "connection", run.isOnNewConnection ? "new" : "used" }, { "outcome", std::string(outcomeName(outcome)) },
            { "status", std::to_string(response.status) }, { "why", std::string(why) }, { "load", load },
            { "ms",
                std::to_string(
                    run.startedAt == MonotonicTime {} ? 0 : millisecondsSince(run.startedAt, now).count()) } });
    // The target may have sent these headers too, and they speak for the daemon.
    response.headers.replace(outcomeHeader, outcomeName(outcome));
    addReport(response.headers, now);
    response.headers.removeAll(callsHeader);
    run.exchange->answer(std::move(response));
}

auto TargetRelay::onTargetResult(const std::shared_ptr<Run>& run, net::HttpClient::Result result) -> void
{
    if (run->isDone)
        return;
    if (auto* response = std::get_if<http::Answer>(&result)) {
        onTargetResponse(*run, std::move(*response));
        return;
    }
    const auto& failure = std::get<http::ExchangeFailure>(result);
    // A timeout while the target executes the request is the caller's deadline and no failure of the target;
    // onUnresponsive() detects an unresponsive target.
    if (!failure.wasTimeout || !failure.mayHaveRun)
        recordOutcome(TargetHealth::Outcome::Failed, failure.error.toText());
    // A target that accepts no connection has ended, and is cold once it is back. A reset alone tells little: targets
    // also forget idle connections and lose answers.
    if (!failure.mayHaveRun) {
        const auto now = monotonicNow();
        m_warmUp.assumeCold(now);
        logWarmth(now);
    }
    // A target that accepts no connections fails every request, so the failure counts a second time.
    if (!failure.mayHaveRun)
        recordOutcome(TargetHealth::Outcome::Failed, failure.error.toText());
    finishRun(*run, std::nullopt);
    const int status = failure.wasTimeout ? http::statusGatewayTimeout : http::statusBadGateway;
    const auto mayHaveRunOutcome = failure.wasReset ? RunOutcome::ConnectionLost : RunOutcome::MayHaveRun;
    reply(*run, failure.mayHaveRun ? mayHaveRunOutcome : RunOutcome::NotSent,
        http::makeAnswer(status, "text/plain", ""), failure.error.toText());
}

auto TargetRelay::recordLateResponse(const http::Answer& response) -> void
{
    ++m_lateResponses;
    log::logEvent(lateResponse,
        { { "request", std::string(response.headers.find(m_options.headers.requestId).value_or("")) },
            { "target", m_knownIncarnation }, { "status", std::to_string(response.status) },
            { "rejection", isRejection(response) ? "yes" : "no" } });
}

auto TargetRelay::isRejection(const http::Answer& response) const -> bool
{
    return response.headers.find(m_options.headers.notExecuted).has_value()
        || response.status == http::statusMisdirected;
}

auto TargetRelay::recordColdTime(const http::Answer& response, MonotonicTime now) -> void
{
    if (m_options.headers.coldTime.empty() || response.status == http::statusMisdirected)
        return;
    const auto header = response.headers.find(m_options.headers.coldTime);
    const auto remaining = header ? decodeRetryAfter(*header) : std::nullopt;
    if (!remaining || remaining->count() < 0)
        return;
    m_warmUp.onHeartbeat(*remaining, now);
    logWarmth(now);
}

// A target that rejects requests while all its slots are taken has less capacity than it announced, so fewer requests
// are admitted for a while. Other rejections show only in the rejection rate, which is reported to the entries.
auto TargetRelay::recordRejection(const http::Answer& response, MonotonicTime now) -> void
{
    m_rejectionRate += rejectionWeight * (1 - m_rejectionRate);
    const auto header = response.headers.find(m_options.headers.load);
    const auto load = header ? decodeLoadReport(*header) : std::nullopt;
    if (load && load->load.running >= load->load.slots)
        m_slots.limitConcurrency(now + m_options.concurrencyLimitTime);
}

auto TargetRelay::onTargetResponse(Run& run, http::Answer response) -> void
{
    const auto& headerNames = m_options.headers;
    const auto now = monotonicNow();
    const auto serviceTime = millisecondsSince(run.startedAt, now);
    m_lastResponseAt = now;
    recordColdTime(response, now);
    if (isRejection(response)) {
        recordRejection(response, now);
        finishRun(run, std::nullopt);
        // Without its id the response may belong to an earlier request.
        if (!response.headers.find(headerNames.requestId)) {
            reply(run, RunOutcome::MayHaveRun, http::makeAnswer(http::statusBadGateway, "text/plain", ""),
                "the rejection does not name the request");
            return;
        }
        reply(run, RunOutcome::NotRun, http::makeAnswer(http::statusUnavailable, "text/plain", ""),
            "the target rejected the request");
        return;
    }
    m_rejectionRate -= rejectionWeight * m_rejectionRate;
    const bool isAuthentic = response.headers.find(headerNames.signature).has_value()
        && response.headers.find(headerNames.requestId).has_value() && !response.headers.find("Content-Encoding");
    const bool isSuccess = isAuthentic && response.status < http::firstServerError;
    if (!run.isRecordedAsUnresponsive)
        recordOutcome(isSuccess ? TargetHealth::Outcome::Succeeded : TargetHealth::Outcome::Failed,
            isAuthentic ? "status " + std::to_string(response.status)
                        : "the response did not come unaltered from the target");
    // A request that fails at once makes no calls, unlike most retries.
    const bool hasMadeCalls = isSuccess || serviceTime >= m_slots.meanServiceTime() / 2;
    if (run.isIdempotent && hasMadeCalls)
        m_callRatio.recordRequest(now);
    finishRun(run, isSuccess ? std::optional(serviceTime) : std::nullopt);
    if (!isAuthentic) {
        reply(run, RunOutcome::MayHaveRun, http::makeAnswer(http::statusBadGateway, "text/plain", ""),
            "the response did not come unaltered from the target");
        return;
    }
    if (isTakenForNotRun(response.status) && !run.isIdempotent) {
        reply(run, RunOutcome::MayHaveRun, http::makeAnswer(http::statusBadGateway, "text/plain", ""),
            "status " + std::to_string(response.status) + " without the statement that it was not executed");
        return;
    }
    http::removeHopByHop(response.headers);
    reply(run, RunOutcome::Answered, std::move(response), "");
}

} // namespace coriandergate::relay
