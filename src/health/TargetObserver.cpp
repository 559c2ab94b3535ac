#include "health/TargetObserver.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace coriandergate::health {

namespace {
    constexpr auto unreachableFor = std::chrono::milliseconds(500);
}

TargetObserver::TargetObserver(Identity identity, const Options& options, MonotonicTime now)
    : m_identity(std::move(identity))
    , m_options(options)
    , m_coldUntil(now + options.coldGrace)
{
}

auto TargetObserver::begin(MonotonicTime now) -> Ticket
{
    const MutexLock lock(m_mutex);
    ++m_inFlight;
    const auto index = static_cast<std::size_t>(std::countr_one(m_tracked));
    if (index < s_trackedCount) {
        m_tracked |= std::uint64_t { 1 } << index;
        m_startedAt[index] = now;
    }
    return { index, now };
}

auto TargetObserver::finish(const Ticket& ticket, Outcome outcome, MonotonicTime now) -> void
{
    const auto bucket
        = ServiceTimeHistogram::bucketOf(std::chrono::duration_cast<std::chrono::microseconds>(now - ticket.startedAt));
    const MutexLock lock(m_mutex);
    --m_inFlight;
    if (ticket.index < s_trackedCount)
        m_tracked &= ~(std::uint64_t { 1 } << ticket.index);
    m_refusals = outcome == Outcome::ConnectionFailed ? m_refusals + 1 : 0;
    m_refusedAt = now;
    if (outcome == Outcome::Crashed || now < m_coldUntil)
        return;
    currentLocked().outcomes.add(outcome);
    // A failure that comes at once, or a caller that goes away early, must not make the target look fast.
    const auto isSlow = m_baseline && m_baseline->timeEvidence(bucket) > 0;
    if (outcome == Outcome::Success || isSlow)
        currentLocked().times.addToBucket(bucket, 1);
}

auto TargetObserver::endInterval(MonotonicTime now) -> bool
{
    const MutexLock lock(m_mutex);
    judgeTimesLocked(now);
    judgeOutcomesLocked();
    m_current = (m_current + 1) % s_recentIntervalCount;
    m_recent[m_current] = {};
    return isSuspiciousLocked();
}

auto TargetObserver::inFlightTimesLocked(MonotonicTime now) const -> ServiceTimeHistogram
{
    ServiceTimeHistogram times;
    for (auto tracked = m_tracked; tracked != 0; tracked &= tracked - 1) {
        const auto elapsed = now - m_startedAt[static_cast<std::size_t>(std::countr_zero(tracked))];
        if (elapsed >= m_options.interval)
            times.add(std::chrono::duration_cast<std::chrono::microseconds>(elapsed));
    }
    return times;
}

auto TargetObserver::judgeTimesLocked(MonotonicTime now) -> void
{
    if (!m_baseline || now < m_coldUntil)
        return;
    const auto& times = currentLocked().times;
    m_pendingTimes = inFlightTimesLocked(now);
    m_timeSum.pending = m_baseline->pendingEvidence(m_pendingTimes);
    addEvidenceLocked(m_timeSum, m_baseline->timeEvidence(times));
    if (m_timeSum.evidence <= 0)
        m_suspectTimes.clear();
    else
        m_suspectTimes.addScaled(times, 1);
}

auto TargetObserver::judgeOutcomesLocked() -> void
{
    if (!m_baseline)
        return;
    const auto& outcomes = currentLocked().outcomes;
    const auto against = static_cast<float>(outcomes.failures()) * m_baseline->failureEvidence();
    const auto inFavour = static_cast<float>(outcomes.of(Outcome::Success)) * m_baseline->successEvidence();
    addEvidenceLocked(m_outcomeSum, against + inFavour);
    if (m_outcomeSum.evidence <= 0)
        m_suspectOutcomes = {};
    else
        m_suspectOutcomes.add(outcomes);
}

auto TargetObserver::addEvidenceLocked(Sum& sum, float evidence) -> void
{
    sum.evidence = std::max(0.0f, sum.evidence + std::min(evidence, m_options.evidencePerInterval));
    sum.intervals = sum.evidence + sum.pending > 0 ? sum.intervals + 1 : 0;
    // Weak evidence over a long time is old evidence: begin anew.
    if (sum.intervals > m_options.maximumIntervals)
        sum = {};
}

auto TargetObserver::isSuspiciousLocked() const -> bool
{
    const auto times = m_timeSum.bounded(m_options.evidencePerInterval);
    const auto outcomes = m_outcomeSum.bounded(m_options.evidencePerInterval);
    return std::max(times, outcomes) >= m_options.suspicionThreshold;
}

auto TargetObserver::report(MonotonicTime now) -> TargetReport
{
    const MutexLock lock(m_mutex);
    TargetReport report;
    report.service = m_identity.service;
    report.target = m_identity.target;
    report.slots = m_identity.slots;
    report.sequence = ++m_sequence;
    report.isSuspicious = isSuspiciousLocked();
    report.isCold = now < m_coldUntil;
    report.isUnreachable = isUnreachableLocked(now);
    report.isSelfReportedSick = m_isSelfReportedSick;
    for (const auto& interval : m_recent) {
        report.recentTimes.addScaled(interval.times, 1);
        report.recentOutcomes.add(interval.outcomes);
    }
    if (m_timeSum.evidence + m_timeSum.pending >= m_options.onsetThreshold) {
        report.suspectTimes = m_suspectTimes;
        report.pendingTimes = m_pendingTimes;
        report.suspectTimeIntervals = m_timeSum.intervals;
    }
    if (m_outcomeSum.evidence >= m_options.onsetThreshold) {
        report.suspectOutcomes = m_suspectOutcomes;
        report.suspectOutcomeIntervals = m_outcomeSum.intervals;
    }
    return report;
}

auto TargetObserver::setBaseline(const Baseline& baseline) -> void
{
    const MutexLock lock(m_mutex);
    m_baseline = baseline;
}

auto TargetObserver::setSelfReportedSick(bool isSick) -> void
{
    const MutexLock lock(m_mutex);
    m_isSelfReportedSick = isSick;
}

auto TargetObserver::restart(MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    m_coldUntil = now + m_options.coldGrace;
    m_recent = {};
    m_timeSum = {};
    m_outcomeSum = {};
    m_suspectTimes.clear();
    m_pendingTimes.clear();
    m_suspectOutcomes = {};
    m_refusals = 0;
}

auto TargetObserver::needsBaseline() const -> bool
{
    const MutexLock lock(m_mutex);
    const auto isObserved = [](const Interval& interval) { return interval.times.total() > 0; };
    return !m_baseline && std::ranges::any_of(m_recent, isObserved);
}

auto TargetObserver::isUnreachable(MonotonicTime now) const -> bool
{
    const MutexLock lock(m_mutex);
    return isUnreachableLocked(now);
}

auto TargetObserver::isUnreachableLocked(MonotonicTime now) const -> bool
{
    return m_refusals >= m_options.refusalsUntilUnreachable && now - m_refusedAt < unreachableFor;
}

auto TargetObserver::inFlight() const -> int
{
    const MutexLock lock(m_mutex);
    return m_inFlight;
}

} // namespace coriandergate::health
