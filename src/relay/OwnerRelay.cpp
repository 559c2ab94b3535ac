#include "relay/OwnerRelay.h"

#include "fleet/LocalTarget.h"
#include "http/Exchange.h"
#include "http/Problem.h"
#include "http/Serialize.h"
#include "http/Status.h"
#include "log/Event.h"

#include <algorithm>

namespace coriandergate::relay {

using dispatch::SlotQueue;
using dispatch::TargetHealth;
using std::chrono::milliseconds;

namespace {

    const log::Event slotRefused { 1910, log::Severity::Info, "slot refused",
        "why the daemon beside the target did not take a request; the entry turned to another target" };
    const log::Event runEnded { 1911, log::Severity::Info, "run ended",
        "how one attempt ended at the target beside this daemon" };
    const log::Event targetFails { 1912, log::Severity::Warning, "target fails",
        "it gets single trial requests only; see its own logs" };
    const log::Event targetSound { 1913, log::Severity::Info, "target is sound again", "nothing" };

    // Weight of the newest request in the share of refused ones: about the last eight count.
    constexpr double refusedWeight = 0.12;
    // Requests that can only be answered late wait behind all that can be answered in time.
    constexpr int latePriority = 100;

    auto millisecondsSince(MonotonicTime start, MonotonicTime now) -> milliseconds
    {
        return std::chrono::duration_cast<milliseconds>(now - start);
    }

} // namespace

// Reservation is a slot that an entry asked for and has, or waits for.
struct OwnerRelay::Reservation {
    Ticket ticket = 0;
    std::string connection;
    std::string requestId;
    std::shared_ptr<http::Exchange> exchange; // until it is answered
    bool isGranted = false;
    bool isTrial = false;
    bool isRepeatable = false;
    bool takesFailing = false;
    std::unique_ptr<boost::asio::steady_timer> timer; // for a granted slot whose request doesn't come
};

// Run is a request at the target.
struct OwnerRelay::Run {
    std::shared_ptr<http::Exchange> exchange;
    std::string requestId;
    bool isTrial = false;
    bool isCountedAsSilent = false;
    bool isDone = false;
    MonotonicTime startedAt;
    net::HttpClient::Call call = 0;
    std::unique_ptr<boost::asio::steady_timer> stuckTimer;
};

OwnerRelay::OwnerRelay(
    boost::asio::io_context& io, const fleet::LocalTarget& target, dispatch::CallRatio& calls, const Options& options)
    : m_io(io)
    , m_target(target)
    , m_calls(calls)
    , m_options(options)
    , m_client(io, { .connectTimeout = options.targetConnectTimeout })
    , m_slots({})
    , m_health(options.health)
    , m_waitTimer(io)
{
}

OwnerRelay::~OwnerRelay() { *m_isAlive = false; }

auto OwnerRelay::news(MonotonicTime now) const -> TargetNews
{
    TargetNews news { m_slots.load(), m_refusedShare, std::nullopt };
    if (m_health.isFailing())
        news.trialIn = m_health.trialIn(now);
    return news;
}

auto OwnerRelay::handle(std::shared_ptr<http::Exchange> exchange) -> void
{
    const auto& path = exchange->request().target;
    if (path == reservePath)
        reserve(exchange);
    else if (path == runPath)
        run(exchange);
    else
        exchange->answer(http::makeAnswer(404, http::problemContentType, http::problemBody(404, "unknown message")));
}

auto OwnerRelay::refusalReason(const ReserveAsk& ask) const -> std::string_view
{
    if (m_isStopping)
        return "daemon stops";
    if (!m_isOpen || !m_target.current())
        return "no target";
    if (m_target.current()->isDraining)
        return "target leaves";
    if (m_target.service() != ask.service)
        return "another service";
    return {};
}

auto OwnerRelay::reserve(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    const auto now = monotonicNow();
    Error reason;
    const auto ask = decodeReserve(exchange->request().body, reason);
    if (!ask) {
        refuse(exchange, "", reason.reason);
        return;
    }
    if (const auto why = refusalReason(*ask); !why.empty()) {
        refuse(exchange, ask->requestId, why);
        return;
    }
    const auto admission = m_health.admit(ask->isRepeatable || ask->takesFailing, now);
    if (admission == TargetHealth::Admission::Refused && !ask->takesFailing) {
        refuse(exchange, ask->requestId, targetFailsNow);
        return;
    }
    releaseReservation(exchange->peer());
    const auto ticket = m_nextTicket++;
    const auto usefulWait = ask->isServedLate
        ? ask->patience
        : std::min(ask->patience, ask->targetLatencyLeft - m_slots.meanServiceTime());
    const SlotQueue::Request request { .ticket = ticket,
        .priority = ask->priority + (ask->isServedLate ? latePriority : 0),
        .waitUntil = now + usefulWait };
    const auto decision = m_slots.reserve(request, now);
    if (decision == SlotQueue::Decision::Refused) {
        if (admission == TargetHealth::Admission::Trial)
            m_health.endTrial();
        refuse(exchange, ask->requestId, noSlotInTime);
        return;
    }
    const auto reservation = std::make_shared<Reservation>();
    reservation->ticket = ticket;
    reservation->connection = exchange->peer();
    reservation->requestId = ask->requestId;
    reservation->exchange = exchange;
    reservation->isRepeatable = ask->isRepeatable;
    reservation->takesFailing = ask->takesFailing;
    reservation->isTrial = admission == TargetHealth::Admission::Trial;
    m_reservations[exchange->peer()] = reservation;
    if (decision == SlotQueue::Decision::Granted) {
        grant(*reservation);
        return;
    }
    m_waiting[ticket] = exchange->peer();
    armWaitTimer();
}

auto OwnerRelay::grant(Reservation& reservation) -> void
{
    reservation.isGranted = true;
    reservation.timer = std::make_unique<boost::asio::steady_timer>(m_io, m_options.reservationTimeout);
    reservation.timer->async_wait(
        [this, alive = m_isAlive, connection = reservation.connection](const boost::system::error_code& error) {
            if (!error && *alive)
                releaseReservation(connection);
        });
    http::Answer answer;
    const auto now = monotonicNow();
    answer.headers.add(loadHeader, encodeNews(news(now)));
    if (reservation.isRepeatable) {
        if (const auto calls = encodeCalls(m_calls.perRun(now)); !calls.empty())
            answer.headers.add(callsHeader, calls);
    }
    std::exchange(reservation.exchange, nullptr)->answer(std::move(answer));
}

auto OwnerRelay::refuse(
    const std::shared_ptr<http::Exchange>& exchange, const std::string& requestId, std::string_view why) -> void
{
    const auto load = encodeNews(news(monotonicNow()));
    log::logEvent(slotRefused, { { "request", requestId }, { "why", std::string(why) }, { "load", load } });
    auto answer = http::makeAnswer(http::statusUnavailable, "text/plain", std::string(why));
    answer.headers.add(outcomeHeader, outcomeName(HopOutcome::NotSent));
    answer.headers.add(loadHeader, load);
    exchange->answer(std::move(answer));
}

auto OwnerRelay::releaseReservation(const std::string& connection) -> void
{
    const auto found = m_reservations.find(connection);
    if (found == m_reservations.end())
        return;
    const auto reservation = found->second;
    m_reservations.erase(found);
    if (reservation->isTrial)
        m_health.endTrial();
    if (reservation->isGranted) {
        m_slots.finish(std::nullopt);
        serveWaiting();
        return;
    }
    m_slots.withdraw(reservation->ticket);
    m_waiting.erase(reservation->ticket);
}

auto OwnerRelay::dropConnection(const std::string& connection) -> void { releaseReservation(connection); }

auto OwnerRelay::serveWaiting() -> void
{
    const auto now = monotonicNow();
    for (const auto ticket : m_slots.takeHopeless(now)) {
        const auto waiting = m_waiting.find(ticket);
        if (waiting == m_waiting.end())
            continue;
        const auto reservation = m_reservations[waiting->second];
        m_reservations.erase(waiting->second);
        m_waiting.erase(waiting);
        if (reservation->isTrial)
            m_health.endTrial();
        refuse(reservation->exchange, reservation->requestId, noSlotInTime);
    }
    while (const auto ticket = m_slots.next(now)) {
        const auto waiting = m_waiting.find(*ticket);
        if (waiting == m_waiting.end()) {
            m_slots.finish(std::nullopt);
            continue;
        }
        const auto reservation = m_reservations[waiting->second];
        m_waiting.erase(waiting);
        grant(*reservation);
    }
    armWaitTimer();
}

// Looks for requests whose time has run out while they wait, and for slots that narrow() withheld.
auto OwnerRelay::armWaitTimer() -> void
{
    constexpr milliseconds period { 50 };
    if (m_waiting.empty())
        return;
    m_waitTimer.expires_after(period);
    m_waitTimer.async_wait([this, alive = m_isAlive](const boost::system::error_code& error) {
        if (!error && *alive)
            serveWaiting();
    });
}

auto OwnerRelay::onTargetChanged() -> void
{
    const auto& current = m_target.current();
    if (!current)
        return;
    m_slots.setSlots(current->slots);
    const auto incarnation = current->id + "/" + std::to_string(current->startedAt);
    if (incarnation != m_knownTarget)
        m_health.reset();
    m_knownTarget = incarnation;
    if (!current->isDraining)
        return;
    // Nothing that still waits may be sent to a target that leaves.
    std::vector<std::shared_ptr<Reservation>> waiting;
    for (const auto& [ticket, connection] : m_waiting)
        waiting.push_back(m_reservations[connection]);
    for (const auto& reservation : waiting) {
        const auto exchange = reservation->exchange;
        releaseReservation(reservation->connection);
        refuse(exchange, reservation->requestId, "target leaves");
    }
}

auto OwnerRelay::run(const std::shared_ptr<http::Exchange>& exchange) -> void
{
    const auto run = std::make_shared<Run>();
    run->exchange = exchange;
    Error reason;
    auto ask = decodeRun(exchange->request().body, reason);
    exchange->request().body = {};
    run->requestId = ask ? ask->requestId : "";
    const auto found = m_reservations.find(exchange->peer());
    if (!ask || found == m_reservations.end() || !found->second->isGranted) {
        reply(*run, HopOutcome::NotSent, http::makeAnswer(http::statusUnavailable, "text/plain", ""),
            ask ? "no reservation" : reason.reason);
        return;
    }
    run->isTrial = found->second->isTrial;
    const bool takesFailing = run->isTrial || found->second->takesFailing;
    found->second->isTrial = false;
    // The slot passes from the reservation to the run.
    m_reservations.erase(found);
    if (!m_target.isServing()) {
        finishRun(*run, std::nullopt);
        reply(*run, HopOutcome::NotSent, http::makeAnswer(http::statusUnavailable, "text/plain", ""), "target leaves");
        return;
    }
    // It may have begun to fail since the slot was granted.
    if (m_health.isFailing() && !takesFailing) {
        finishRun(*run, std::nullopt);
        reply(*run, HopOutcome::NotSent, http::makeAnswer(http::statusUnavailable, "text/plain", ""), targetFailsNow);
        return;
    }
    const auto storeTime = m_storeTime ? m_storeTime() : std::nullopt;
    if (ask->expiresAt && storeTime)
        ask->timeLeft = std::min(ask->timeLeft, *ask->expiresAt - *storeTime);
    if (ask->timeLeft <= milliseconds { 0 }) {
        finishRun(*run, std::nullopt);
        reply(*run, HopOutcome::NotSent, http::makeAnswer(http::statusUnavailable, "text/plain", ""), "time ran out");
        return;
    }
    send(run, std::move(*ask));
}

auto OwnerRelay::targetRequest(const RunAsk& ask, milliseconds timeLeft) const -> http::Request
{
    const auto& names = m_options.headers;
    auto request = ask.request;
    request.headers.replace(names.deadline, std::to_string(timeLeft.count()));
    request.headers.replace(names.expectedTarget, m_target.current()->id);
    request.headers.replace(names.callerService, ask.callerService);
    request.headers.removeAll(names.clientAccount);
    if (!ask.clientAccount.empty())
        request.headers.add(names.clientAccount, ask.clientAccount);
    return request;
}

auto OwnerRelay::send(const std::shared_ptr<Run>& run, RunAsk ask) -> void
{
    run->startedAt = monotonicNow();
    if (ask.isRepeatable)
        m_calls.recordRun(run->startedAt);
    const auto request = targetRequest(ask, ask.timeLeft);
    const net::HttpClient::SendOptions options { .timeout = ask.timeLeft,
        .maximumAnswerBytes = m_options.maximumAnswerBytes,
        .isHead = request.method == "HEAD",
        .mayEndWithConnection = true,
        .maximumIdleAge = ask.isRepeatable ? milliseconds::max() : m_options.onceOnlyIdleAge,
        .answerIdHeader = m_options.headers.requestId,
        .answerId = ask.requestId };
    run->call = m_client.send(m_target.address(), http::serializeRequest(request), options,
        [this, alive = m_isAlive, run](net::HttpClient::Result result) {
            if (*alive)
                onTargetDone(run, std::move(result));
        });
    run->exchange->onAbandoned([this, alive = m_isAlive, run] {
        if (!*alive || run->isDone)
            return;
        m_client.cancel(run->call);
        log::logEvent(runEnded,
            { { "request", run->requestId }, { "outcome", "cancelled" },
                { "ms", std::to_string(millisecondsSince(run->startedAt, monotonicNow()).count()) } });
        finishRun(*run, std::nullopt);
    });
    run->stuckTimer = std::make_unique<boost::asio::steady_timer>(
        m_io, std::max(ask.targetLatencyLeft, 3 * m_slots.meanServiceTime()));
    run->stuckTimer->async_wait([this, alive = m_isAlive, run](const boost::system::error_code& error) {
        if (!error && *alive)
            onStuck(run);
    });
}

auto OwnerRelay::onStuck(const std::shared_ptr<Run>& run) -> void
{
    if (run->isDone)
        return;
    // A target that answers others is only slow.
    if (m_lastAnswerAt > run->startedAt)
        return;
    run->isCountedAsSilent = true;
    recordEnd(TargetHealth::Outcome::Silent, "no answer to any request within the target latency");
}

auto OwnerRelay::recordEnd(TargetHealth::Outcome outcome, std::string_view why) -> void
{
    if (!m_health.recordEnd(outcome, monotonicNow()))
        return;
    const auto& target = m_target.current();
    log::logEvent(m_health.isFailing() ? targetFails : targetSound,
        { { "target", target ? target->id : "" }, { "why", std::string(why) },
            { "failure-share", std::to_string(m_health.failureShare()) } });
}

auto OwnerRelay::finishRun(Run& run, std::optional<milliseconds> serviceTime) -> void
{
    run.isDone = true;
    run.stuckTimer.reset();
    if (run.isTrial)
        m_health.endTrial();
    m_slots.finish(serviceTime);
    serveWaiting();
}

auto OwnerRelay::reply(Run& run, HopOutcome outcome, http::Answer answer, std::string_view why) -> void
{
    const auto now = monotonicNow();
    const auto load = encodeNews(news(now));
    log::logEvent(runEnded,
        { { "request", run.requestId }, { "outcome", std::string(outcomeName(outcome)) },
            { "status", std::to_string(answer.status) }, { "why", std::string(why) }, { "load", load },
            { "ms",
                std::to_string(
                    run.startedAt == MonotonicTime {} ? 0 : millisecondsSince(run.startedAt, now).count()) } });
    answer.headers.add(outcomeHeader, outcomeName(outcome));
    answer.headers.add(loadHeader, load);
    run.exchange->answer(std::move(answer));
}

auto OwnerRelay::onTargetDone(const std::shared_ptr<Run>& run, net::HttpClient::Result result) -> void
{
    if (run->isDone)
        return;
    if (auto* answer = std::get_if<http::Answer>(&result)) {
        onAnswer(*run, std::move(*answer));
        return;
    }
    const auto& failure = std::get<http::ExchangeFailure>(result);
    // Where the caller's time ran out the target isn't to blame; onStuck() watches for one that is silent.
    if (!failure.wasTimeout || !failure.mayHaveRun)
        recordEnd(TargetHealth::Outcome::Failed, failure.error.toText());
    // A target that doesn't take connections fails for every request.
    if (!failure.mayHaveRun)
        recordEnd(TargetHealth::Outcome::Failed, failure.error.toText());
    finishRun(*run, std::nullopt);
    const int status = failure.wasTimeout ? http::statusGatewayTimeout : http::statusBadGateway;
    reply(*run, failure.mayHaveRun ? HopOutcome::MayHaveRun : HopOutcome::NotSent,
        http::makeAnswer(status, "text/plain", ""), failure.error.toText());
}

// A target that refuses while it is full has less room than it announced; one that refuses otherwise is gray, and how
// much so is told to the entries.
auto OwnerRelay::noteRefusal(const http::Answer& answer, MonotonicTime now) -> void
{
    m_refusedShare += refusedWeight * (1 - m_refusedShare);
    const auto told = answer.headers.find(m_options.headers.load);
    const auto load = told ? decodeNews(*told) : std::nullopt;
    if (load && load->load.running >= load->load.slots)
        m_slots.narrow(now + m_options.narrowFor);
}

auto OwnerRelay::onAnswer(Run& run, http::Answer answer) -> void
{
    const auto& names = m_options.headers;
    const auto now = monotonicNow();
    const auto took = millisecondsSince(run.startedAt, now);
    m_lastAnswerAt = now;
    const bool isRefusal = answer.headers.find(names.notRun).has_value() || answer.status == http::statusMisdirected;
    if (isRefusal) {
        noteRefusal(answer, now);
        finishRun(run, std::nullopt);
        reply(run, HopOutcome::NotRun, http::makeAnswer(http::statusUnavailable, "text/plain", ""), "target refused");
        return;
    }
    m_refusedShare -= refusedWeight * m_refusedShare;
    const bool isItsOwn = answer.headers.find(names.signature).has_value()
        && answer.headers.find(names.requestId).has_value() && !answer.headers.find("Content-Encoding");
    const bool isGood = isItsOwn && answer.status < http::firstServerError;
    if (!run.isCountedAsSilent)
        recordEnd(isGood ? TargetHealth::Outcome::Succeeded : TargetHealth::Outcome::Failed,
            isItsOwn ? "status " + std::to_string(answer.status) : "an answer that isn't the target's");
    finishRun(run, isGood ? std::optional(took) : std::nullopt);
    if (!isItsOwn) {
        reply(run, HopOutcome::MayHaveRun, http::makeAnswer(http::statusBadGateway, "text/plain", ""),
            "an answer that isn't the target's");
        return;
    }
    http::removeHopByHop(answer.headers);
    reply(run, HopOutcome::Answered, std::move(answer), "");
}

} // namespace coriandergate::relay
