#include "health/EjectionLease.h"

#include <algorithm>

namespace coriandergate::health {

auto EjectionLease::recordReportSent(std::uint64_t sequence, MonotonicTime now) -> void
{
    m_sent[sequence % s_rememberedCount] = { sequence, now };
    m_lastSent = std::max(m_lastSent, sequence);
}

auto EjectionLease::accept(std::uint64_t sequence, std::chrono::milliseconds lifetime) -> bool
{
    const auto& sent = m_sent[sequence % s_rememberedCount];
    if (sequence == 0 || sent.sequence != sequence || sequence <= m_releasedUpTo)
        return false;
    m_until = std::max(m_until, sent.at + lifetime);
    return true;
}

auto EjectionLease::release() -> void
{
    m_releasedUpTo = m_lastSent;
    m_until = {};
}

auto EjectionLease::remaining(MonotonicTime now) const -> std::chrono::milliseconds
{
    if (!isHeld(now))
        return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_until - now);
}

} // namespace coriandergate::health
