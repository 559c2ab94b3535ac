#include "proxy/EntryRequest.h"

#include "admission/Deadline.h"
#include "base/Hash.h"
#include "config/KeyDigest.h"
#include "config/Snapshot.h"
#include "http/Exchange.h"
#include "http/Status.h"
#include "http/WorkerPool.h"
#include "log/Event.h"
#include "member/TargetRegistry.h"
#include "proxy/ForwardCodec.h"
#include "proxy/KeyCarrier.h"
#include "proxy/OnceGate.h"
#include "proxy/PoisonGate.h"
#include "proxy/ProxyContext.h"
#include "proxy/ProxyHeaders.h"
#include "proxy/RequestId.h"
#include "proxy/RetryGate.h"
#include "proxy/TargetChooser.h"
#include "status/ServiceOutcomeTable.h"

#include <algorithm>
#include <utility>

namespace coriandergate::proxy {

using std::chrono::milliseconds;

namespace {

    constexpr int callerLeft = 499; // for the log only
    constexpr std::size_t maximumAttempts = 3;
    constexpr std::size_t maximumIdempotencyKeyBytes = 255;
    constexpr milliseconds hopMargin { 2 };

    const log::Event requestEnded { 1100, log::Severity::Info, "request ended", "one line a request" };

    auto notRun(int status, std::string step, std::string peer, std::string reason) -> Refusal
    {
        return { .status = status,
            .outcome = Outcome::NotRun,
            .error = { std::move(step), std::move(peer), std::move(reason) },
            .retryAfter = std::nullopt,
            .mayTryOtherTarget = false };
    }

} // namespace

auto EntryRequest::start(std::shared_ptr<const ProxyContext> context, std::shared_ptr<http::Exchange> exchange) -> void
{
    const auto request = std::make_shared<EntryRequest>(std::move(context), std::move(exchange));
    request->begin();
}

EntryRequest::EntryRequest(std::shared_ptr<const ProxyContext> context, std::shared_ptr<http::Exchange> exchange)
    : m_context(std::move(context))
    , m_exchange(std::move(exchange))
{
}

auto EntryRequest::begin() -> void
{
    // The exchange keeps the request alive until it is answered or abandoned, and lets go of it then.
    m_exchange->onAbandoned([self = shared_from_this()] { self->onAbandoned(); });
    if (const auto refused = identify(monotonicNow())) {
        refuse(*refused);
        return;
    }
    checkPoison();
}

auto EntryRequest::identify(MonotonicTime now) -> std::optional<Refusal>
{
    m_request.worker = m_exchange->worker();
    m_request.arrivedAt = now;
    auto& headerList = m_exchange->request().headers;
    removeInternalHeaders(headerList);
    m_request.id = usableRequestId(headerList.find(headers::requestId).value_or(""));
    headerList.replace(headers::requestId, m_request.id);
    if (auto refused = findRoute())
        return refused;
    if (auto refused = checkKey())
        return refused;
    if (auto refused = readDeadline(now))
        return refused;
    prepareForTarget();
    return std::nullopt;
}

auto EntryRequest::findRoute() -> std::optional<Refusal>
{
    const auto snapshot = m_context->snapshot();
    if (!snapshot || m_context->freshnessAt(m_request.arrivedAt) == config::Freshness::Expired) {
        auto refused = notRun(http::statusUnavailable, "find route", "",
            snapshot ? "the configuration is too old to rely on" : "no configuration is known yet");
        refused.retryAfter = milliseconds(1000);
        return refused;
    }
    const auto& request = m_exchange->request();
    const auto* route = snapshot->routes.match(request.headers.find("Host").value_or(""), request.target);
    if (!route)
        return notRun(http::statusNotFound, "find route", "", "no route takes this host and path");
    m_request.route = *route;
    if (request.body.size() > route->maximumRequestBytes)
        return notRun(http::statusContentTooLarge, "read request", route->name,
            "the body is larger than " + std::to_string(route->maximumRequestBytes) + " bytes");
    return std::nullopt;
}

auto EntryRequest::checkKey() -> std::optional<Refusal>
{
    Error reason;
    const auto key = takeKey(m_exchange->request(), reason);
    if (!key && !reason.step.empty())
        return notRun(http::statusBadRequest, reason.step, "", reason.reason);
    const auto& route = m_request.route;
    if (route.isOpen)
        return std::nullopt;
    if (!key)
        return notRun(http::statusUnauthorized, "check key", route.name, "the route needs a key");
    if (m_context->freshnessAt(m_request.arrivedAt) != config::Freshness::Current) {
        auto refused = notRun(http::statusUnavailable, "check key", route.name,
            "this daemon is cut off and can't tell whether the key is valid");
        refused.retryAfter = milliseconds(1000);
        return refused;
    }
    auto digest = config::digestOfKey(*key);
    const auto snapshot = m_context->snapshot();
    const auto* account = snapshot->keys.accountForDigest(digest);
    if (!account)
        return notRun(http::statusUnauthorized, "check key", route.name, "the key is not, or no longer, valid");
    if (auto refused = checkAccount(account->name))
        return refused;
    m_request.clientAccount = account->name;
    m_request.keyDigest = std::move(digest);
    return std::nullopt;
}

auto EntryRequest::checkAccount(const std::string& name) const -> std::optional<Refusal>
{
    const auto& allowed = m_request.route.clientAccounts;
    if (allowed.empty() || std::find(allowed.begin(), allowed.end(), name) != allowed.end())
        return std::nullopt;
    return notRun(http::statusForbidden, "check key", m_request.route.name, "the route is not for this client account");
}

auto EntryRequest::readDeadline(MonotonicTime now) -> std::optional<Refusal>
{
    auto timeLeft = m_request.route.deadline;
    if (const auto wanted = m_exchange->request().headers.find(headers::deadline)) {
        Error reason;
        const auto parsed = admission::parseRemainingTime(*wanted, reason);
        if (!parsed)
            return notRun(http::statusBadRequest, "read deadline", "", reason.reason);
        timeLeft = std::min(timeLeft, *parsed);
    }
    m_request.deadline = now + timeLeft;
    const auto& headerList = m_exchange->request().headers;
    m_request.idempotencyKey = headerList.find(headers::idempotencyKey).value_or("");
    if (m_request.idempotencyKey.size() > maximumIdempotencyKeyBytes || headerList.count(headers::idempotencyKey) > 1)
        return notRun(
            http::statusBadRequest, "read idempotency key", "", "one Idempotency-Key of at most 255 bytes is taken");
    return std::nullopt;
}

auto EntryRequest::prepareForTarget() -> void
{
    auto& request = m_exchange->request();
    http::removeHopByHop(request.headers);
    request.headers.removeAll("Expect");
    auto fingerprint = hashOf(m_request.clientAccount);
    for (const std::string_view part :
        { std::string_view(request.method), std::string_view(request.target), std::string_view(request.body) })
        fingerprint = hashOf(part, fingerprint);
    m_request.fingerprint = fingerprint;
}

auto EntryRequest::checkPoison() -> void
{
    if (!m_context->poisonGate) {
        acquireRate();
        return;
    }
    m_context->poisonGate->begin(
        m_request, monotonicNow(), [self = shared_from_this()](std::optional<Refusal> refused) {
            self->m_context->runOn(self->m_request.worker, [self, refused = std::move(refused)] {
                if (refused)
                    self->refuse(*refused);
                else if (!self->isOver())
                    self->acquireRate();
            });
        });
}

auto EntryRequest::acquireRate() -> void
{
    if (!m_context->rateGate || m_request.clientAccount.empty()) {
        attempt();
        return;
    }
    m_context->rateGate->acquire(m_request, monotonicNow(), [self = shared_from_this()](RateDecision decision) {
        self->m_context->runOn(self->m_request.worker, [self, decision = std::move(decision)] {
            if (const auto* refused = std::get_if<Refusal>(&decision)) {
                self->refuse(*refused);
                return;
            }
            self->m_useBy = std::get<RateGranted>(decision).useBy;
            if (!self->isOver())
                self->attempt();
        });
    });
}

auto EntryRequest::makeOnceLabel() const -> std::string
{
    const bool needsPermit = m_request.route.repeatPolicy == config::RepeatPolicy::OnceOnly
        && !m_request.idempotencyKey.empty() && m_context->onceGate;
    return needsPermit ? m_context->onceGate->label(m_request) : std::string();
}

auto EntryRequest::attempt() -> void
{
    const auto now = monotonicNow();
    if (now + hopMargin >= m_request.deadline) {
        refuse(notRun(http::statusGatewayTimeout, "check deadline", "", "the deadline leaves no time for a target"));
        return;
    }
    if (m_tried.empty() && m_context->retryGate)
        m_context->retryGate->began(m_request, now);
    m_choice = m_context->targetChooser->choose(m_request.route.service, m_tried, now);
    if (!m_choice)
        m_choice = chooseLastResort(now);
    if (!m_choice && m_lastRefusal) {
        // No other target is left: what the last one did is what the caller should know.
        refuse(*m_lastRefusal);
        return;
    }
    if (!m_choice) {
        m_context->serviceBoard->recordRefusal(m_request.route.service, now);
        auto refused = notRun(
            http::statusUnavailable, "choose target", m_request.route.service, "no target can take the request");
        refused.retryAfter = milliseconds(1000);
        refuse(refused);
        return;
    }
    m_tried.push_back(m_choice->target);
    m_attemptStartedAt = now;
    OwnerRequest request { .id = m_request.id,
        .service = m_request.route.service,
        .target = m_choice->target,
        .clientAccount = m_request.clientAccount,
        .keyDigest = m_request.keyDigest,
        .isOnceOnly = m_request.route.repeatPolicy == config::RepeatPolicy::OnceOnly,
        .onceLabel = makeOnceLabel(),
        .deadline = m_request.deadline - hopMargin,
        .useBy = m_useBy,
        .maximumAnswerBytes = m_request.route.maximumAnswerBytes,
        .request = m_exchange->request(),
        .worker = m_request.worker };
    if (m_choice->owner == m_context->self)
        sendLocally(std::move(request));
    else
        sendToOwner(std::move(request));
}

// A caller may have been told a moment ago that the route serves; a target that has just begun to leave keeps that
// true.
auto EntryRequest::chooseLastResort(MonotonicTime now) const -> std::optional<TargetChoice>
{
    const auto target = m_context->targets->fallbackTarget(m_request.route.service, now);
    if (!target || std::find(m_tried.begin(), m_tried.end(), target->announcement.address) != m_tried.end())
        return std::nullopt;
    return TargetChoice { m_request.route.service, target->announcement.address, m_context->self, m_context->locality,
        TargetChoice::s_noTicket };
}

auto EntryRequest::sendLocally(OwnerRequest request) -> void
{
    m_ownerRun = OwnerService::start(m_context, std::move(request), [weak = weak_from_this()](OwnerResult result) {
        if (const auto self = weak.lock())
            self->m_context->workers->post(self->m_request.worker,
                [self, result = std::move(result)]() mutable { self->onOwnerResult(std::move(result)); });
    });
}

auto EntryRequest::sendToOwner(OwnerRequest request) -> void
{
    const auto now = monotonicNow();
    const auto timeLeft = std::chrono::floor<milliseconds>(m_request.deadline - now);
    http::Request forwarded = request.request;
    forwarded.headers.add(headers::forward, encodeForward(request, now));
    constexpr std::size_t headerAllowance = 64 * 1024;
    const http::Client::SendOptions options { timeLeft, request.maximumAnswerBytes + headerAllowance, false };
    m_call = m_context->client(m_request.worker)
                 .send(m_choice->owner.address, forwarded, options,
                     [self = shared_from_this()](
                         http::ExchangeResult result) { self->onForwardResult(std::move(result)); });
}

auto EntryRequest::onForwardResult(http::ExchangeResult result) -> void
{
    if (isOver())
        return;
    if (const auto* failure = std::get_if<http::ExchangeFailure>(&result)) {
        reportAttempt(AttemptReport::Result::Unreachable, 0, std::nullopt);
        Refusal refusal;
        refusal.status = failure->wasTimeout ? http::statusGatewayTimeout : http::statusBadGateway;
        refusal.outcome = failure->mayHaveRun ? Outcome::MayHaveRun : Outcome::NotRun;
        refusal.error = failure->error;
        refusal.error.step = "forward to the target's host: " + failure->error.step;
        refusal.mayTryOtherTarget = true;
        retryOrRefuse(refusal);
        return;
    }
    auto& answer = std::get<http::Answer>(result);
    const auto report = decodeReport(answer.headers.find(headers::report).value_or(""));
    if (!report) {
        reportAttempt(AttemptReport::Result::Unreachable, answer.status, std::nullopt);
        Refusal refusal { .status = http::statusBadGateway,
            .outcome = Outcome::MayHaveRun,
            .error = { "read answer", m_choice->owner.address, "the target's host gave an answer without its report" },
            .retryAfter = std::nullopt,
            .mayTryOtherTarget = true };
        retryOrRefuse(refusal);
        return;
    }
    if (answer.headers.find(headers::refusal)) {
        onOwnerResult(OwnerRefusal { parseRefusal(answer), *report });
        return;
    }
    onOwnerResult(OwnerAnswer { std::move(answer), *report });
}

auto EntryRequest::onOwnerResult(OwnerResult result) -> void
{
    if (isOver())
        return;
    if (auto* refused = std::get_if<OwnerRefusal>(&result)) {
        const auto kind = refused->refusal.outcome == Outcome::NotRun ? AttemptReport::Result::Refused
                                                                      : AttemptReport::Result::Failed;
        reportAttempt(kind, 0, refused->report);
        onRefused(std::move(refused->refusal), refused->report);
        return;
    }
    auto& answered = std::get<OwnerAnswer>(result);
    reportAttempt(AttemptReport::Result::Answered, answered.answer.status, answered.report);
    answer(std::move(answered.answer));
}

auto EntryRequest::onRefused(Refusal refusal, const OwnerReport& report) -> void
{
    if (!report.hasTargetCrashed || !m_context->poisonGate) {
        retryOrRefuse(refusal);
        return;
    }
    m_context->poisonGate->crashed(m_request, m_choice->target, monotonicNow(),
        [self = shared_from_this(), refusal = std::move(refusal)]() mutable {
            self->m_context->runOn(self->m_request.worker, [self, refusal = std::move(refusal)] {
                // A request that crashed its target isn't sent to another one; its caller may, and is then watched.
                if (!self->isOver())
                    self->refuse(refusal);
            });
        });
}

auto EntryRequest::retryOrRefuse(const Refusal& refusal) -> void
{
    m_mayHaveRun = m_mayHaveRun || refusal.outcome != Outcome::NotRun;
    const bool isRepeatable
        = refusal.outcome == Outcome::NotRun || m_request.route.repeatPolicy == config::RepeatPolicy::Idempotent;
    const auto now = monotonicNow();
    const bool mayRetry = isRepeatable && refusal.mayTryOtherTarget && m_tried.size() < maximumAttempts
        && (!m_context->retryGate
            || m_context->retryGate->mayRetry(m_request, refusal, static_cast<int>(m_tried.size()), now));
    if (!mayRetry) {
        m_context->serviceBoard->recordRefusal(m_request.route.service, now);
        refuse(refusal);
        return;
    }
    m_lastRefusal = refusal;
    attempt();
}

auto EntryRequest::reportAttempt(AttemptReport::Result result, int status, std::optional<OwnerReport> report) -> void
{
    if (!m_choice)
        return;
    const auto now = monotonicNow();
    if (m_choice->ticket != TargetChoice::s_noTicket)
        m_context->targetChooser->finished(*m_choice, { result, status, now - m_attemptStartedAt, report }, now);
    m_ownerRun = nullptr;
}

auto EntryRequest::answer(http::Answer answer) -> void
{
    if (std::exchange(m_isOver, true))
        return;
    if (m_choice)
        m_context->serviceBoard->recordResponse(m_request.route.service, monotonicNow());
    settle(Outcome::Ran);
    http::removeHopByHop(answer.headers);
    removeInternalHeaders(answer.headers);
    answer.headers.replace(headers::requestId, m_request.id);
    answer.headers.add(headers::outcome, outcomeText(Outcome::Ran));
    logEnd(answer.status, Outcome::Ran, "");
    m_exchange->answer(std::move(answer));
}

auto EntryRequest::refuse(const Refusal& refusal) -> void
{
    if (std::exchange(m_isOver, true))
        return;
    auto truthful = refusal;
    // An attempt before the last one may have run, whatever became of the last.
    if (m_mayHaveRun && truthful.outcome == Outcome::NotRun)
        truthful.outcome = Outcome::MayHaveRun;
    settle(truthful.outcome);
    logEnd(truthful.status, truthful.outcome, truthful.error.toText());
    m_exchange->answer(refusalAnswer(truthful, m_request.id));
}

auto EntryRequest::settle(Outcome outcome) -> void
{
    const auto now = monotonicNow();
    if (m_context->poisonGate)
        m_context->poisonGate->finished(m_request, outcome, now);
}

auto EntryRequest::onAbandoned() -> void
{
    if (std::exchange(m_isOver, true))
        return;
    const bool isUnderWay = m_choice.has_value();
    if (m_ownerRun)
        m_ownerRun->cancel();
    m_context->client(m_request.worker).cancel(m_call);
    if (isUnderWay)
        reportAttempt(AttemptReport::Result::Cancelled, 0, std::nullopt);
    const auto outcome = isUnderWay ? Outcome::MayHaveRun : Outcome::NotRun;
    settle(outcome);
    logEnd(callerLeft, outcome, "the caller left");
}

auto EntryRequest::logEnd(int status, Outcome outcome, const std::string& reason) const -> void
{
    const auto taken = std::chrono::duration_cast<std::chrono::microseconds>(monotonicNow() - m_request.arrivedAt);
    log::logEvent(requestEnded,
        { { "id", m_request.id }, { "caller", m_exchange->peer() }, { "account", m_request.clientAccount },
            { "route", m_request.route.name }, { "target", m_choice ? m_choice->target : "" },
            { "status", std::to_string(status) }, { "outcome", std::string(outcomeText(outcome)) },
            { "attempts", std::to_string(m_tried.size()) }, { "us", std::to_string(taken.count()) },
            { "reason", reason } });
}

} // namespace coriandergate::proxy
