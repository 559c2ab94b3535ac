#include "health/EjectionLease.h"

#include <algorithm>

namespace coriandergate::health {

auto EjectionLease::recordReportSent(std::uint64_t sequence, MonotonicTime now) -> void
{
    m_sentReports[sequence % s_trackedReportCount] = { sequence, now };
    m_lastSentSequence = std::max(m_lastSentSequence, sequence);
}

auto EjectionLease::accept(std::uint64_t sequence, std::chrono::milliseconds duration) -> bool
{
    const auto& sent = m_sentReports[sequence % s_trackedReportCount];
    if (sequence == 0 || sent.sequence != sequence || sequence <= m_releasedSequence)
        return false;
    m_expiresAt = std::max(m_expiresAt, sent.sentAt + duration);
    return true;
}

auto EjectionLease::release() -> void
{
    m_releasedSequence = m_lastSentSequence;
    m_expiresAt = {};
}

auto EjectionLease::remaining(MonotonicTime now) const -> std::chrono::milliseconds
{
    if (!isHeld(now))
        return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_expiresAt - now);
}

} // namespace coriandergate::health
