#include "poison/SuspectJudge.h"

#include <utility>

namespace coriandergate::poison {

SuspectJudge::SuspectJudge(std::string service, const Options& options, MonotonicTime heldSince)
    : m_service(std::move(service))
    , m_options(options)
    , m_runningUntil(heldSince + options.permitFor)
{
}

auto SuspectJudge::crashed(std::uint64_t fingerprint, const std::string& target, MonotonicTime now) -> SuspectNotice
{
    const MutexLock lock(m_mutex);
    std::erase_if(m_suspects, [now](const auto& entry) { return now >= entry.second.until; });
    auto& suspect = m_suspects[fingerprint];
    const auto isFirst = suspect.lastTarget.empty();
    const auto isSameCrash = suspect.lastTarget == target && now - suspect.lastCrashAt < m_options.sameCrash;
    const auto wasWatched = isRunningLocked(fingerprint, now);
    if (!isFirst && !isSameCrash && wasWatched)
        suspect.standing = Standing::Poison;
    if (!isSameCrash)
        suspect.lastCrashAt = now;
    suspect.lastTarget = target;
    suspect.until = now + (suspect.standing == Standing::Poison ? m_options.poisonFor : m_options.suspectFor);
    if (wasWatched)
        m_runningUntil = now;
    return noticeLocked(fingerprint, now);
}

auto SuspectJudge::requestPermit(std::uint64_t fingerprint, MonotonicTime now) -> Permission
{
    const MutexLock lock(m_mutex);
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end() && now < found->second.until && found->second.standing == Standing::Poison)
        return Permission::Refuse;
    if (now < m_runningUntil)
        return Permission::Wait;
    m_running = fingerprint;
    m_runningUntil = now + m_options.permitFor;
    return Permission::Run;
}

auto SuspectJudge::finished(std::uint64_t fingerprint, bool isClean, MonotonicTime now) -> SuspectNotice
{
    const MutexLock lock(m_mutex);
    const auto found = m_suspects.find(fingerprint);
    const auto isPoison = found != m_suspects.end() && found->second.standing == Standing::Poison;
    if (isRunningLocked(fingerprint, now)) {
        m_runningUntil = now;
        if (isClean && !isPoison)
            m_suspects.erase(fingerprint);
    }
    return noticeLocked(fingerprint, now);
}

auto SuspectJudge::noticeLocked(std::uint64_t fingerprint, MonotonicTime now) const -> SuspectNotice
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || now >= found->second.until)
        return { m_service, fingerprint, Standing::Clear, std::chrono::milliseconds(0) };
    const auto rest = std::chrono::duration_cast<std::chrono::milliseconds>(found->second.until - now);
    return { m_service, fingerprint, found->second.standing, rest };
}

auto SuspectJudge::isRunningLocked(std::uint64_t fingerprint, MonotonicTime now) const -> bool
{
    return m_running == fingerprint && now < m_runningUntil;
}

} // namespace coriandergate::poison
