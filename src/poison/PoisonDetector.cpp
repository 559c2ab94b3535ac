#include "poison/PoisonDetector.h"

#include <utility>

namespace coriandergate::poison {

PoisonDetector::PoisonDetector(std::string service, const Options& options, MonotonicTime activeSince)
    : m_service(std::move(service))
    , m_options(options)
    , m_permitExpiresAt(activeSince + options.permitTtl)
{
}

auto PoisonDetector::recordCrash(std::uint64_t fingerprint, const std::string& target, MonotonicTime now)
    -> PoisonStatusUpdate
{
    const MutexLock lock(m_mutex);
    std::erase_if(m_trackedRequests, [now](const auto& entry) { return now >= entry.second.expiresAt; });
    auto& tracked = m_trackedRequests[fingerprint];
    const auto isFirstCrash = tracked.lastTarget.empty();
    const auto isSameCrash = tracked.lastTarget == target && now - tracked.lastCrashAt < m_options.sameCrashWindow;
    const auto hadPermit = hasPermitLocked(fingerprint, now);
    if (!isFirstCrash && !isSameCrash && hadPermit)
        tracked.status = PoisonStatus::Poison;
    if (!isSameCrash)
        tracked.lastCrashAt = now;
    tracked.lastTarget = target;
    tracked.expiresAt = now + (tracked.status == PoisonStatus::Poison ? m_options.poisonTtl : m_options.suspectTtl);
    if (hadPermit)
        m_permitExpiresAt = now;
    return statusUpdateLocked(fingerprint, now);
}

auto PoisonDetector::requestPermit(std::uint64_t fingerprint, MonotonicTime now) -> PermitDecision
{
    const MutexLock lock(m_mutex);
    const auto found = m_trackedRequests.find(fingerprint);
    if (found != m_trackedRequests.end() && now < found->second.expiresAt
        && found->second.status == PoisonStatus::Poison)
        return PermitDecision::Refuse;
    if (now < m_permitExpiresAt)
        return PermitDecision::Wait;
    m_permitHolder = fingerprint;
    m_permitExpiresAt = now + m_options.permitTtl;
    return PermitDecision::Grant;
}

auto PoisonDetector::recordCompletion(std::uint64_t fingerprint, bool isAnswered, MonotonicTime now)
    -> PoisonStatusUpdate
{
    const MutexLock lock(m_mutex);
    const auto found = m_trackedRequests.find(fingerprint);
    const auto isPoison = found != m_trackedRequests.end() && found->second.status == PoisonStatus::Poison;
    if (hasPermitLocked(fingerprint, now)) {
        m_permitExpiresAt = now;
        if (isAnswered && !isPoison)
            m_trackedRequests.erase(fingerprint);
    }
    return statusUpdateLocked(fingerprint, now);
}

auto PoisonDetector::statusUpdateLocked(std::uint64_t fingerprint, MonotonicTime now) const -> PoisonStatusUpdate
{
    const auto found = m_trackedRequests.find(fingerprint);
    if (found == m_trackedRequests.end() || now >= found->second.expiresAt)
        return { m_service, fingerprint, PoisonStatus::Clear, std::chrono::milliseconds(0) };
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(found->second.expiresAt - now);
    return { m_service, fingerprint, found->second.status, remaining };
}

auto PoisonDetector::hasPermitLocked(std::uint64_t fingerprint, MonotonicTime now) const -> bool
{
    return m_permitHolder == fingerprint && now < m_permitExpiresAt;
}

} // namespace coriandergate::poison
