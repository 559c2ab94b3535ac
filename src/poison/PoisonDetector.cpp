#include "poison/PoisonDetector.h"

#include <utility>

namespace coriandergate::poison {

PoisonDetector::PoisonDetector(std::string service, const Options& options, MonotonicTime heldSince)
    : m_service(std::move(service))
    , m_options(options)
    , m_runningUntil(heldSince + options.permitTtl)
{
}

auto PoisonDetector::recordCrash(std::uint64_t fingerprint, const std::string& target, MonotonicTime now)
    -> PoisonStatusUpdate
{
    const MutexLock lock(m_mutex);
    std::erase_if(m_suspects, [now](const auto& entry) { return now >= entry.second.until; });
    auto& suspect = m_suspects[fingerprint];
    const auto isFirst = suspect.lastTarget.empty();
    const auto isSameCrash = suspect.lastTarget == target && now - suspect.lastCrashAt < m_options.sameCrashWindow;
    const auto wasWatched = isRunningLocked(fingerprint, now);
    if (!isFirst && !isSameCrash && wasWatched)
        suspect.status = PoisonStatus::Poison;
    if (!isSameCrash)
        suspect.lastCrashAt = now;
    suspect.lastTarget = target;
    suspect.until = now + (suspect.status == PoisonStatus::Poison ? m_options.poisonTtl : m_options.suspectTtl);
    if (wasWatched)
        m_runningUntil = now;
    return noticeLocked(fingerprint, now);
}

auto PoisonDetector::requestPermit(std::uint64_t fingerprint, MonotonicTime now) -> PermitDecision
{
    const MutexLock lock(m_mutex);
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end() && now < found->second.until && found->second.status == PoisonStatus::Poison)
        return PermitDecision::Refuse;
    if (now < m_runningUntil)
        return PermitDecision::Wait;
    m_running = fingerprint;
    m_runningUntil = now + m_options.permitTtl;
    return PermitDecision::Grant;
}

auto PoisonDetector::recordCompletion(std::uint64_t fingerprint, bool isClean, MonotonicTime now) -> PoisonStatusUpdate
{
    const MutexLock lock(m_mutex);
    const auto found = m_suspects.find(fingerprint);
    const auto isPoison = found != m_suspects.end() && found->second.status == PoisonStatus::Poison;
    if (isRunningLocked(fingerprint, now)) {
        m_runningUntil = now;
        if (isClean && !isPoison)
            m_suspects.erase(fingerprint);
    }
    return noticeLocked(fingerprint, now);
}

auto PoisonDetector::noticeLocked(std::uint64_t fingerprint, MonotonicTime now) const -> PoisonStatusUpdate
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || now >= found->second.until)
        return { m_service, fingerprint, PoisonStatus::Clear, std::chrono::milliseconds(0) };
    const auto rest = std::chrono::duration_cast<std::chrono::milliseconds>(found->second.until - now);
    return { m_service, fingerprint, found->second.status, rest };
}

auto PoisonDetector::isRunningLocked(std::uint64_t fingerprint, MonotonicTime now) const -> bool
{
    return m_running == fingerprint && now < m_runningUntil;
}

} // namespace coriandergate::poison
