#include "relay/HedgedAttempt.h"

#include <utility>

namespace coriandergate::relay {

HedgedAttempt::HedgedAttempt(EntryContext& context, dispatch::LoadBalancer::TargetPointer target, std::string requestId)
    : m_attempt(context, std::move(target), std::move(requestId))
{
}

auto HedgedAttempt::start(const ReserveRequest& message, Callbacks callbacks) -> void
{
    m_callbacks = std::move(callbacks);
    m_attempt.reserve(message, [this](const TargetAttempt::SlotResult& result) { onSlotResult(result); });
}

auto HedgedAttempt::onSlotResult(const TargetAttempt::SlotResult& result) -> void
{
    const auto message
        = std::holds_alternative<TargetAttempt::SlotGranted>(result) ? m_callbacks.makeRun() : std::nullopt;
    m_isRunning = message && m_attempt.run(*message, [this](TargetAttempt::RunResult ended) {
        const auto callback = std::move(m_callbacks.onEnded);
        callback(std::move(ended));
    });
    if (m_isRunning)
        return;
    const auto callback = std::move(m_callbacks.onGivenUp);
    callback();
}

} // namespace coriandergate::relay
