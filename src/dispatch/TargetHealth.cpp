#include "dispatch/TargetHealth.h"

#include <algorithm>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;

auto TargetHealth::admit(bool isRepeatable, MonotonicTime now) -> Admission
{
    if (!m_isFailing)
        return Admission::Healthy;
    if (m_trialsUnderWay >= trialsAtOnce() || now < m_trialAt)
        return Admission::Refused;
    const bool mayTryOnceOnly
        = m_goodTrials >= m_options.answersToTryOnceOnly || now >= m_lastTrialAt + m_options.onceOnlyTrialAfter;
    if (!isRepeatable && !mayTryOnceOnly)
        return Admission::Refused;
    ++m_trialsUnderWay;
    m_lastTrialAt = now;
    return Admission::Probe;
}

auto TargetHealth::endProbe() -> void
{
    if (m_trialsUnderWay > 0)
        --m_trialsUnderWay;
}

auto TargetHealth::recordOutcome(Outcome outcome, MonotonicTime now) -> bool
{
    const bool isGood = outcome == Outcome::Succeeded;
    const double value = isGood ? 0 : outcome == Outcome::Unresponsive ? m_options.silentFailure : 1;
    m_failureShare += m_options.newestWeight * (value - m_failureShare);
    const bool wasFailing = m_isFailing;
    if (isGood) {
        if (!m_isFailing)
            return false;
        ++m_goodTrials;
        m_trialAt = now;
        m_gap = m_options.firstTrialGap;
        const auto needed = m_failureShare > m_options.chanceShare ? m_options.answersToClear : 1;
        m_isFailing = m_goodTrials < needed;
        return wasFailing != m_isFailing;
    }
    m_goodTrials = 0;
    if (!m_isFailing) {
        // The first trial follows at once.
        m_isFailing = true;
        m_trialsUnderWay = 0;
        m_gap = m_options.firstTrialGap;
        m_trialAt = now;
        m_lastTrialAt = now;
        return true;
    }
    m_trialAt = now + m_gap;
    const auto grown = std::chrono::duration_cast<milliseconds>(m_gap * m_options.gapGrowth);
    m_gap = std::min(grown, m_options.longestTrialGap);
    return false;
}

auto TargetHealth::reset() -> void { *this = TargetHealth(m_options); }

auto TargetHealth::nextProbeIn(MonotonicTime now) const -> milliseconds
{
    if (m_trialsUnderWay >= trialsAtOnce())
        return m_options.firstTrialGap;
    return std::max(milliseconds { 0 }, std::chrono::ceil<milliseconds>(m_trialAt - now));
}

} // namespace coriandergate::dispatch
