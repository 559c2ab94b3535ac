#include "relay/SecondAttempt.h"

#include "http/Status.h"
#include "log/Event.h"
#include "relay/CallerRequest.h"
#include "relay/EntryContext.h"

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

SecondAttempt::SecondAttempt(std::shared_ptr<CallerRequest> request, Callbacks callbacks)
    : m_request(std::move(request))
    , m_callbacks(std::move(callbacks))
    , m_timer(m_request->context.io)
{
}

auto SecondAttempt::arm(const TargetAttempt& first, MonotonicTime startedAt) -> void
{
    const auto& admitted = m_request->admitted;
    if (!admitted.isIdempotent())
        return;
    const auto delay = m_request->context.hedging.delay({ .route = admitted.route->name,
        .targetLatencyLeft = m_request->targetLatencyLeft(startedAt),
        .timeLeft = admitted.timeLeft(startedAt) });
    if (!delay)
        return;
    m_first = &first;
    m_firstStartedAt = startedAt;
    m_timer.expires_after(*delay);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self)
            self->start();
    });
}

auto SecondAttempt::defer(TargetAttempt::RunResult& result) -> bool
{
    if (isSuccess(result) || !m_attempt || !m_attempt->isRunning())
        return false;
    m_firstResult = std::move(result);
    return true;
}

auto SecondAttempt::cancel() -> void
{
    m_timer.cancel();
    m_first = nullptr;
    m_attempt = nullptr;
    m_firstResult.reset();
}

auto SecondAttempt::isAllowed(MonotonicTime now) const -> bool
{
    const auto& context = m_request->context;
    const auto& admitted = m_request->admitted;
    return m_first && !m_firstResult && m_request->history.attempts == 1 && admitted.route->maximumAttempts > 1
        && !context.stopsBefore(now + admitted.route->targetLatency) && !admitted.isKeyRevokedBy(context.snapshot)
        && !m_request->crashGuard.isKnownToCrash();
}

// Starts a second attempt at another target that is sound and has a free slot, if there is one.
auto SecondAttempt::start() -> void
{
    const auto now = monotonicNow();
    if (!isAllowed(now) || !m_request->choice.hasBudgetForSecond(now))
        return;
    auto target = m_request->choice.chooseSecond(m_request->search, m_first->target().address, now);
    if (!target)
        return;
    m_attempt = std::make_unique<HedgedAttempt>(m_request->context, std::move(target), m_request->id);
    // A callback may destroy the attempt, and with it whatever else its caller holds.
    const auto onSelf = [weak = weak_from_this()](const auto& action) {
        return [weak, action](auto&&... arguments) {
            const auto self = weak.lock();
            return action(*self, std::forward<decltype(arguments)>(arguments)...);
        };
    };
    m_attempt->start({ .requestId = m_request->id,
                         .service = m_request->service,
                         .priority = m_request->priority,
                         .isIdempotent = true,
                         .targetLatencyLeft = m_request->targetLatencyLeft(now) },
        { .makeRun = onSelf([](SecondAttempt& self) { return self.makeRun(); }),
            .onGivenUp = onSelf([](SecondAttempt& self) { self.m_attempt = nullptr; }),
            .onEnded
            = onSelf([](SecondAttempt& self, TargetAttempt::RunResult result) { self.onEnded(std::move(result)); }) });
}

auto SecondAttempt::makeRun() -> std::optional<RunRequest>
{
    const auto now = monotonicNow();
    if (!isAllowed(now) || !m_request->choice.admits(m_attempt->target()) || !m_request->choice.chargeSecond(now))
        return std::nullopt;
    ++m_request->history.attempts;
    ++m_request->context.counters.hedges;
    log::logEvent(hedgeStarted,
        { { "request", m_request->id }, { "route", m_request->admitted.route->name },
            { "peer", m_attempt->target().address }, { "first-peer", m_first->target().address },
            { "after-ms", std::to_string(std::chrono::duration_cast<milliseconds>(now - m_firstStartedAt).count()) } });
    return m_request->makeRunRequest(now);
}

auto SecondAttempt::onEnded(TargetAttempt::RunResult result) -> void
{
    const auto target = m_attempt->target();
    m_attempt = nullptr;
    m_request->search.exclude(target.address);
    if (isSuccess(result)) {
        ++m_request->context.counters.hedgesWon;
        cancel();
        m_callbacks.onWon(std::get<TargetAttempt::Ended>(std::move(result)).response);
        return;
    }
    recordFailure(std::move(result), target);
    if (auto first = std::exchange(m_firstResult, std::nullopt))
        m_callbacks.onFirstFailed(std::move(*first));
}

auto SecondAttempt::recordFailure(TargetAttempt::RunResult result, const dispatch::LoadBalancer::Description& target)
    -> void
{
    auto& history = m_request->history;
    auto* ended = std::get_if<TargetAttempt::Ended>(&result);
    const auto outcome = ended ? ended->outcome : RunOutcome::MayHaveRun;
    if (outcome == RunOutcome::NotRun)
        m_request->search.recordRejection(target);
    if (outcome == RunOutcome::NotSent) {
        --history.attempts;
        history.hasUnusedRetry = true;
    }
    if (outcome == RunOutcome::NotRun || outcome == RunOutcome::NotSent)
        return;
    history.mayHaveRun = true;
    if (outcome == RunOutcome::ConnectionLost)
        m_request->crashGuard.reportCrash(target.address, nullptr);
    if (outcome == RunOutcome::Answered)
        history.lastErrorResponse = std::move(ended->response);
}

} // namespace coriandergate::relay
