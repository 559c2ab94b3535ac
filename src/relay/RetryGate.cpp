#include "relay/RetryGate.h"

#include "relay/AttemptEvent.h"
#include "relay/CallerRequest.h"
#include "relay/CrashReporter.h"
#include "relay/EntryContext.h"
#include "relay/RetryBorrower.h"

#include <utility>

namespace coriandergate::relay {

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
    const bool isWithinBudget = history.attempts == 0 || std::exchange(history.hasUnusedRetry, false)
        || context.retryBudget.tryAcquire(service, context.callsPerRequest[service],
            m_request->admitted.retryClass(service), context.hostCount, monotonicNow());
    if (isWithinBudget)
        callback({});
    else
        borrow(peer, std::move(callback));
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
            if (isLent)
                callback({});
            else
                self->onBudgetExhausted(peer, callback);
        });
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
