#include "health/TargetObserver.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace coriandergate::health {

namespace {
    constexpr auto unreachableDuration = std::chrono::milliseconds(500);
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
    const auto index = static_cast<std::size_t>(std::countr_one(m_trackedAttempts));
    if (index < s_maxTrackedAttempts) {
        m_trackedAttempts |= std::uint64_t { 1 } << index;
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
    if (ticket.index < s_maxTrackedAttempts)
        m_trackedAttempts &= ~(std::uint64_t { 1 } << ticket.index);
    m_consecutiveConnectionFailures = outcome == Outcome::ConnectionFailed ? m_consecutiveConnectionFailures + 1 : 0;
    m_lastFinishedAt = now;
    if (outcome == Outcome::Crashed || now < m_coldUntil)
        return;
    currentIntervalLocked().outcomes.add(outcome);
    // Immediate failures and early cancellations must not make the target look fast, so the times of unsuccessful
    // attempts are recorded only if they are slow.
    const auto isSlow = m_baseline && m_baseline->serviceTimeEvidence(bucket) > 0;
    if (outcome == Outcome::Success || isSlow)
        currentIntervalLocked().times.addToBucket(bucket, 1);
}

auto TargetObserver::endInterval(MonotonicTime now) -> bool
{
    const MutexLock lock(m_mutex);
    updateServiceTimeCusumLocked(now);
    updateOutcomeCusumLocked();
    m_currentInterval = (m_currentInterval + 1) % s_recentIntervalCount;
    m_recentIntervals[m_currentInterval] = {};
    return isSuspiciousLocked();
}

auto TargetObserver::inFlightTimesLocked(MonotonicTime now) const -> ServiceTimeHistogram
{
    ServiceTimeHistogram times;
    for (auto tracked = m_trackedAttempts; tracked != 0; tracked &= tracked - 1) {
        const auto elapsed = now - m_startedAt[static_cast<std::size_t>(std::countr_zero(tracked))];
        if (elapsed >= m_options.interval)
            times.add(std::chrono::duration_cast<std::chrono::microseconds>(elapsed));
    }
    return times;
}

auto TargetObserver::updateServiceTimeCusumLocked(MonotonicTime now) -> void
{
    if (!m_baseline || now < m_coldUntil)
        return;
    const auto& times = currentIntervalLocked().times;
    m_inFlightTimes = inFlightTimesLocked(now);
    m_serviceTimeCusum.pending = m_baseline->inFlightEvidence(m_inFlightTimes);
    addEvidenceLocked(m_serviceTimeCusum, m_baseline->serviceTimeEvidence(times));
    if (m_serviceTimeCusum.evidence <= 0)
        m_serviceTimesSinceOnset.clear();
    else
        m_serviceTimesSinceOnset.addScaled(times, 1);
}

auto TargetObserver::updateOutcomeCusumLocked() -> void
{
    if (!m_baseline)
        return;
    const auto& outcomes = currentIntervalLocked().outcomes;
    const auto failureEvidence = static_cast<float>(outcomes.failures()) * m_baseline->failureEvidence();
    const auto successEvidence = static_cast<float>(outcomes.count(Outcome::Success)) * m_baseline->successEvidence();
    addEvidenceLocked(m_outcomeCusum, failureEvidence + successEvidence);
    if (m_outcomeCusum.evidence <= 0)
        m_outcomesSinceOnset = {};
    else
        m_outcomesSinceOnset.add(outcomes);
}

auto TargetObserver::addEvidenceLocked(CusumState& cusum, float evidence) -> void
{
    cusum.evidence = std::max(0.0f, cusum.evidence + std::min(evidence, m_options.maxEvidencePerIntervalNats));
    cusum.intervals = cusum.evidence + cusum.pending > 0 ? cusum.intervals + 1 : 0;
    // Evidence that stays weak for this long is mostly old, so it is discarded.
    if (cusum.intervals > m_options.maxEvidenceIntervals)
        cusum = {};
}

auto TargetObserver::isSuspiciousLocked() const -> bool
{
    const auto times = m_serviceTimeCusum.boundedEvidence(m_options.maxEvidencePerIntervalNats);
    const auto outcomes = m_outcomeCusum.boundedEvidence(m_options.maxEvidencePerIntervalNats);
    return std::max(times, outcomes) >= m_options.suspicionThresholdNats;
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
    report.isSelfReportedUnhealthy = m_isSelfReportedUnhealthy;
    for (const auto& interval : m_recentIntervals) {
        report.recentServiceTimes.addScaled(interval.times, 1);
        report.recentOutcomes.add(interval.outcomes);
    }
    if (m_serviceTimeCusum.evidence + m_serviceTimeCusum.pending >= m_options.onsetThresholdNats) {
        report.serviceTimesSinceOnset = m_serviceTimesSinceOnset;
        report.inFlightTimes = m_inFlightTimes;
        report.serviceTimeIntervalsSinceOnset = m_serviceTimeCusum.intervals;
    }
    if (m_outcomeCusum.evidence >= m_options.onsetThresholdNats) {
        report.outcomesSinceOnset = m_outcomesSinceOnset;
        report.outcomeIntervalsSinceOnset = m_outcomeCusum.intervals;
    }
    return report;
}

auto TargetObserver::setBaseline(const Baseline& baseline) -> void
{
    const MutexLock lock(m_mutex);
    m_baseline = baseline;
}

auto TargetObserver::setSelfReportedUnhealthy(bool isUnhealthy) -> void
{
    const MutexLock lock(m_mutex);
    m_isSelfReportedUnhealthy = isUnhealthy;
}

auto TargetObserver::restart(MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    m_coldUntil = now + m_options.coldGrace;
    m_recentIntervals = {};
    m_serviceTimeCusum = {};
    m_outcomeCusum = {};
    m_serviceTimesSinceOnset.clear();
    m_inFlightTimes.clear();
    m_outcomesSinceOnset = {};
    m_consecutiveConnectionFailures = 0;
}

auto TargetObserver::needsBaseline() const -> bool
{
    const MutexLock lock(m_mutex);
    const auto isObserved = [](const Interval& interval) { return interval.times.total() > 0; };
    return !m_baseline && std::ranges::any_of(m_recentIntervals, isObserved);
}

auto TargetObserver::isUnreachable(MonotonicTime now) const -> bool
{
    const MutexLock lock(m_mutex);
    return isUnreachableLocked(now);
}

auto TargetObserver::isUnreachableLocked(MonotonicTime now) const -> bool
{
    return m_consecutiveConnectionFailures >= m_options.connectionFailuresUntilUnreachable
        && now - m_lastFinishedAt < unreachableDuration;
}

auto TargetObserver::inFlight() const -> int
{
    const MutexLock lock(m_mutex);
    return m_inFlight;
}

} // namespace coriandergate::health
