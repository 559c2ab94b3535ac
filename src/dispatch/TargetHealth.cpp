#include "dispatch/TargetHealth.h"

#include <algorithm>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;

auto TargetHealth::admit(bool isRepeatable, MonotonicTime now) -> Admission
{
    if (!m_isFailing)
        return Admission::Sound;
    if (m_isTrialUnderWay || now < m_trialAt)
        return Admission::Refused;
    if (!isRepeatable && now < m_lastTrialAt + m_options.onceOnlyTrialAfter)
        return Admission::Refused;
    m_isTrialUnderWay = true;
    m_lastTrialAt = now;
    return Admission::Trial;
}

auto TargetHealth::recordEnd(Outcome outcome, MonotonicTime now) -> bool
{
    const double value = outcome == Outcome::Succeeded ? 0 : outcome == Outcome::Late ? m_options.lateFailure : 1;
    m_score += m_options.newestWeight * (value - m_score);
    m_slowScore += m_options.slowWeight * (value - m_slowScore);
    const bool wasFailing = m_isFailing;
    if (!m_isFailing && m_score > m_options.failingAbove) {
        m_isFailing = true;
        m_isTrialUnderWay = false;
        m_gap = m_options.firstTrialGap;
        // The first trial follows at once.
        m_trialAt = now;
        m_lastTrialAt = now;
    } else if (m_isFailing) {
        m_isTrialUnderWay = false;
        if (outcome == Outcome::Succeeded) {
            m_trialAt = now;
            m_gap = m_options.firstTrialGap;
        } else {
            m_trialAt = now + m_gap;
            const auto grown = std::chrono::duration_cast<milliseconds>(m_gap * m_options.gapGrowth);
            m_gap = std::min(grown, m_options.longestTrialGap);
        }
        m_isFailing = m_score >= m_options.soundBelow || m_slowScore >= m_options.slowSoundBelow;
    }
    return wasFailing != m_isFailing;
}

auto TargetHealth::reset() -> void { *this = TargetHealth(m_options); }

auto TargetHealth::trialIn(MonotonicTime now) const -> milliseconds
{
    if (m_isTrialUnderWay)
        return m_options.firstTrialGap;
    return std::max(milliseconds { 0 }, std::chrono::ceil<milliseconds>(m_trialAt - now));
}

} // namespace coriandergate::dispatch
