#include "relay/RetryGate.h"

#include "log/Event.h"
#include "relay/AttemptEvent.h"
#include "relay/CallerRequest.h"
#include "relay/CrashReporter.h"
#include "relay/EntryContext.h"
#include "relay/RetryBorrower.h"

#include <utility>

namespace coriandergate::relay {

namespace {

    const log::Event retryCharged { 1902, log::Severity::Info, "retry charged",
        "whose share of the retry budget pays for it, the calls to other services that it is expected to make, "
        "and what remains of the own share" };

} // namespace

RetryGate::RetryGate(std::shared_ptr<CallerRequest> request)
    : m_request(std::move(request))
{
}

auto RetryGate::acquire(const std::string& peer, AcquireCallback callback) -> void
{
    auto& context = m_request->context;
    auto& history = m_request->history;
    const auto& service = m_request->service;
    if (history.attempts > 0 && m_request->crashGuard.isKnownToCrash()) {
        callback("the request crashes targets");
        return;
    }
    if (history.attempts == 0) {
        callback({});
        return;
    }
    const bool wasCharged = std::exchange(history.hasUnusedRetry, false);
    const bool isWithinBudget = wasCharged
        || context.retryBudget.tryAcquire(service, context.callsPerRequest[service],
            m_request->admitted.retryClass(service), context.hostCount, monotonicNow());
    if (!isWithinBudget) {
        borrow(peer, std::move(callback));
        return;
    }
    logCharge(peer, wasCharged ? "earlier" : "own");
    callback({});
}

auto RetryGate::borrow(const std::string& peer, AcquireCallback callback) -> void
{
    auto& context = m_request->context;
    m_borrower = RetryBorrower::start(context,
        { .service = m_request->service, .calls = context.callsPerRequest[m_request->service] },
        [weak = weak_from_this(), peer, callback = std::move(callback)](bool isLent) {
            const auto self = weak.lock();
            if (!self)
                return;
            if (isLent) {
                self->logCharge(peer, "lender");
                callback({});
            } else {
                self->onBudgetExhausted(peer, callback);
            }
        });
}

auto RetryGate::logCharge(const std::string& peer, std::string_view chargedTo) -> void
{
    auto& context = m_request->context;
    const auto& service = m_request->service;
    log::logEvent(retryCharged,
        { { "request", m_request->id }, { "service", service }, { "peer", peer },
            { "charged-to", std::string(chargedTo) },
            { "calls", encodeCallsPerRequest(context.callsPerRequest[service]) },
            { "remaining", std::to_string(context.retryBudget.remaining(service, context.hostCount, monotonicNow())) },
            { "hosts", std::to_string(context.hostCount) } });
}

auto RetryGate::onBudgetExhausted(const std::string& peer, const AcquireCallback& callback) -> void
{
    log::logEvent(attemptEnded,
        { { "request", m_request->id }, { "peer", peer }, { "step", "run" }, { "outcome", "not-run" },
            { "why", "retry budget exhausted" },
            { "calls", encodeCallsPerRequest(m_request->context.callsPerRequest[m_request->service]) } });
    callback("no further attempt in the budget");
}

auto RetryGate::countCrash(const std::string& peer, CrashCallback callback) -> void
{
    m_crashReporter = m_request->crashGuard.reportCrash(
        peer, [weak = weak_from_this(), callback = std::move(callback)](std::optional<std::size_t> crashes) {
            if (const auto self = weak.lock())
                callback(CrashGuard::isTooMany(crashes));
        });
}

auto RetryGate::cancel() -> void
{
    if (m_borrower)
        std::exchange(m_borrower, nullptr)->cancel();
    if (m_crashReporter)
        std::exchange(m_crashReporter, nullptr)->detach();
}

} // namespace coriandergate::relay
