#include "relay/TargetAttempt.h"

#include "http/Status.h"
#include "relay/AttemptEvent.h"
#include "relay/EntryContext.h"

#include <utility>

namespace coriandergate::relay {

using std::chrono::milliseconds;

namespace {

    // The call that forwards a request times out this long after the request's deadline, so that a timeout means a
    // broken connection rather than a short deadline.
    constexpr milliseconds peerTimeoutMargin { 1000 };
    // How long a target is avoided that refuses for another reason than the lack of a slot, such as its drain.
    constexpr milliseconds refusalBackoff { 1000 };

    auto outcomeOf(const http::Answer& response, bool isIdempotent) -> RunOutcome
    {
        // Peers of earlier versions pass on such a status of their target, and its headers before their own.
        if (response.headers.count(outcomeHeader) > 1)
            return RunOutcome::MayHaveRun;
        const auto outcome = parseOutcome(response.headers.find(outcomeHeader).value_or(""));
        const bool isAmbiguous = outcome == RunOutcome::Answered && !isIdempotent && isTakenForNotRun(response.status);
        return isAmbiguous ? RunOutcome::MayHaveRun : outcome.value_or(RunOutcome::MayHaveRun);
    }

} // namespace

TargetAttempt::TargetAttempt(EntryContext& context, dispatch::LoadBalancer::TargetPointer target, std::string requestId)
    : m_context(context)
    , m_target(std::move(target))
    , m_asked(m_target->description)
    , m_requestId(std::move(requestId))
{
    m_context.loadBalancer.beginRequest(*m_target);
}

TargetAttempt::~TargetAttempt()
{
    m_context.peerClient.cancel(m_call);
    m_context.loadBalancer.endRequest(*m_target);
}

auto TargetAttempt::reserve(const ReserveRequest& message, SlotCallback callback) -> void
{
    const auto& options = m_context.options;
    const bool isOtherRegion = m_asked.locality.region != m_context.locality.region;
    const auto responseTimeout = isOtherRegion ? options.crossRegionPeerTimeout : options.peerTimeout;
    m_call = m_context.peerClient.send(m_asked.address, encodeReserveRequest(message),
        { .timeout = message.maximumWait + responseTimeout, .keepsConnection = true },
        // The callback may destroy this attempt.
        [this, callback = std::move(callback)](
            const net::HttpClient::Result& result) { callback(onSlotResponse(result)); });
}

auto TargetAttempt::onSlotResponse(const net::HttpClient::Result& result) -> SlotResult
{
    if (const auto* failure = std::get_if<http::ExchangeFailure>(&result)) {
        m_call = 0;
        ++m_context.counters.pathFailures;
        // A reset of a reused connection only means that the peer had closed it while it was idle.
        if (!(failure->wasReusedConnection && failure->wasReset))
            m_context.loadBalancer.recordPathFailure(*m_target, monotonicNow());
        onPathFailure(*failure, "reserve", "not-run");
        return PathFailed { *failure };
    }
    const auto& response = std::get<http::Answer>(result);
    applyLoadReport(response);
    if (response.status != http::statusOk)
        return onSlotRefused(response);
    if (const auto header = response.headers.find(callsHeader)) {
        const auto calls = decodeCallsPerRequest(*header);
        m_context.callsPerRequest[m_asked.service] = calls;
        m_context.callRatio.recordCallsOf(m_asked.service, calls);
    }
    return SlotGranted {};
}

auto TargetAttempt::onSlotRefused(const http::Answer& response) -> SlotResult
{
    m_context.peerClient.release(std::exchange(m_call, 0));
    // A target without a free slot may soon have one. The load report already says when a failing target may be probed.
    if (response.body != noSlotInTime && response.body != targetIsFailing)
        m_context.loadBalancer.markUnavailable(*m_target, monotonicNow() + refusalBackoff);
    return SlotRefused { response.body };
}

auto TargetAttempt::onPathFailure(const http::ExchangeFailure& failure, std::string_view step, std::string_view outcome)
    -> void
{
    log::logEvent(attemptEnded,
        { { "request", m_requestId }, { "peer", m_asked.address }, { "step", std::string(step) },
            { "outcome", std::string(outcome) }, { "why", failure.error.toText() } });
}

auto TargetAttempt::run(const RunRequest& message, RunCallback callback) -> bool
{
    return m_context.peerClient.sendNext(m_call, encodeRunRequest(message),
        { .timeout = message.timeLeft + peerTimeoutMargin, .isHead = message.request.method == "HEAD" },
        [this, isIdempotent = message.isIdempotent, callback = std::move(callback)](
            net::HttpClient::Result result) { callback(onRunResponse(std::move(result), isIdempotent)); });
}

auto TargetAttempt::onRunResponse(net::HttpClient::Result result, bool isIdempotent) -> RunResult
{
    m_call = 0;
    if (const auto* failure = std::get_if<http::ExchangeFailure>(&result)) {
        m_context.loadBalancer.recordPathFailure(*m_target, monotonicNow());
        onPathFailure(*failure, "run", "may-have-run");
        return PathFailed { *failure };
    }
    auto response = std::get<http::Answer>(std::move(result));
    applyLoadReport(response);
    const auto outcome = outcomeOf(response, isIdempotent);
    if (outcome != RunOutcome::Answered)
        log::logEvent(attemptEnded,
            { { "request", m_requestId }, { "peer", m_asked.address }, { "step", "run" },
                { "outcome", std::string(outcomeName(outcome)) }, { "status", std::to_string(response.status) } });
    response.headers.removeAll(outcomeHeader);
    response.headers.removeAll(loadHeader);
    response.headers.removeAll(arrivalsHeader);
    return Ended { outcome, std::move(response) };
}

auto TargetAttempt::applyLoadReport(const http::Answer& response) -> void
{
    const auto header = response.headers.find(loadHeader);
    const auto report = header ? decodeLoadReport(*header) : std::nullopt;
    if (!report)
        return;
    const auto now = monotonicNow();
    auto& balancer = m_context.loadBalancer;
    balancer.recordPathSuccess(*m_target);
    balancer.recordLoad(*m_target, report->load, report->rejectionRate, now);
    const auto arrivals = response.headers.find(arrivalsHeader);
    balancer.recordArrivals(*m_target, arrivals ? decodeArrivals(*arrivals) : std::nullopt);
    if (report->nextProbeIn)
        balancer.recordFailing(*m_target, *report->nextProbeIn, now);
    else
        balancer.recordHealthy(*m_target);
}

} // namespace coriandergate::relay
