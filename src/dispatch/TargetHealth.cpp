#include "dispatch/TargetHealth.h"

#include <algorithm>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;

auto TargetHealth::admit(bool isRetryable, MonotonicTime now) -> Admission
{
    if (!m_isFailing)
        return Admission::Healthy;
    if (m_probesInFlight >= maximumConcurrentProbes() || now < m_nextProbeAt)
        return Admission::Refused;
    const bool mayProbeNonRetryable = m_consecutiveSuccesses >= m_options.successesBeforeNonRetryable
        || now >= m_lastProbeAt + m_options.nonRetryableProbeDelay;
    if (!isRetryable && !mayProbeNonRetryable)
        return Admission::Refused;
    ++m_probesInFlight;
    m_lastProbeAt = now;
    return Admission::Probe;
}

auto TargetHealth::endProbe() -> void
{
    if (m_probesInFlight > 0)
        --m_probesInFlight;
}

auto TargetHealth::recordOutcome(Outcome outcome, MonotonicTime now) -> bool
{
    const bool isSuccess = outcome == Outcome::Succeeded;
    const double failureWeight = isSuccess ? 0 : outcome == Outcome::Unresponsive ? m_options.unresponsiveWeight : 1;
    m_failureRate += m_options.latestOutcomeWeight * (failureWeight - m_failureRate);
    const bool wasFailing = m_isFailing;
    if (isSuccess) {
        if (!m_isFailing)
            return false;
        ++m_consecutiveSuccesses;
        m_nextProbeAt = now;
        m_probeInterval = m_options.firstProbeInterval;
        const auto neededSuccesses = m_failureRate > m_options.chanceFailureRate ? m_options.successesToRecover : 1;
        m_isFailing = m_consecutiveSuccesses < neededSuccesses;
        return wasFailing != m_isFailing;
    }
    m_consecutiveSuccesses = 0;
    if (!m_isFailing) {
        // The first probe may follow immediately.
        m_isFailing = true;
        m_probesInFlight = 0;
        m_probeInterval = m_options.firstProbeInterval;
        m_nextProbeAt = now;
        m_lastProbeAt = now;
        return true;
    }
    m_nextProbeAt = now + m_probeInterval;
    const auto longerInterval
        = std::chrono::duration_cast<milliseconds>(m_probeInterval * m_options.probeIntervalGrowth);
    m_probeInterval = std::min(longerInterval, m_options.maximumProbeInterval);
    return false;
}

auto TargetHealth::reset() -> void { *this = TargetHealth(m_options); }

auto TargetHealth::nextProbeIn(MonotonicTime now) const -> milliseconds
{
    if (m_probesInFlight >= maximumConcurrentProbes())
        return m_options.firstProbeInterval;
    return std::max(milliseconds { 0 }, std::chrono::ceil<milliseconds>(m_nextProbeAt - now));
}

} // namespace coriandergate::dispatch
