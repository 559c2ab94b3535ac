#include "health/EjectionDecider.h"

#include "base/Error.h"

namespace coriandergate::health {

namespace {
    constexpr auto baselineRecomputeInterval = std::chrono::milliseconds(500);
}

EjectionDecider::EjectionDecider(const Options& options, MonotonicTime leaderSince)
    : m_options(options)
    , m_detector(options.detector)
    , m_leases(options.leases, leaderSince)
{
}

auto EjectionDecider::setLeadershipUntil(MonotonicTime until) -> void
{
    const MutexLock lock(m_mutex);
    m_leadershipUntil = until;
}

auto EjectionDecider::setHealthyFloor(double fraction) -> void
{
    const MutexLock lock(m_mutex);
    m_leases.setHealthyFloor(fraction);
}

auto EjectionDecider::receive(const TargetReport& report, MonotonicTime now) -> TargetReportResponse
{
    const MutexLock lock(m_mutex);
    TargetReportResponse response;
    response.sequence = report.sequence;
    response.verdict = m_detector.receive(report, now);
    response.baseline = baselineLocked(now);
    updateCapacityLocked(report);
    const auto ejection = m_ejections.find(report.target);
    if (ejection != m_ejections.end() && ejection->second.isEjected)
        renewOrReadmitLocked(report, ejection->second, now, response);
    else if (response.verdict.decision == Decision::Eject)
        ejectLocked(report, now, response);
    else if (report.holdsEjectionLease)
        response.isReadmitted = true; // the lease is left over, usually from a previous leader
    return response;
}

auto EjectionDecider::updateCapacityLocked(const TargetReport& report) -> void
{
    const auto isServing = !report.isCold && !report.isDraining && !report.isUnreachable;
    m_capacities[report.target] = { report.slots, isServing };
    m_leases.updateTarget(report.target, { report.slots, isServing });
}

// Targets without a recent report may have failed, so their capacity does not count as serving.
auto EjectionDecider::excludeUnreportedCapacityLocked(MonotonicTime now) -> void
{
    for (const auto& [target, capacity] : m_capacities)
        m_leases.updateTarget(
            target, { capacity.slots, capacity.isServing && m_detector.hasRecentReport(target, now) });
}

auto EjectionDecider::baselineLocked(MonotonicTime now) -> std::optional<Baseline>
{
    if (m_baseline && now - m_baselineComputedAt < baselineRecomputeInterval)
        return m_baseline;
    m_baseline = m_detector.baseline();
    m_baselineComputedAt = now;
    return m_baseline;
}

auto EjectionDecider::renewOrReadmitLocked(
    const TargetReport& report, Ejection& ejection, MonotonicTime now, TargetReportResponse& response) -> void
{
    Error reason;
    excludeUnreportedCapacityLocked(now);
    if (!ejection.backoff.hasElapsed(now))
        response.leaseDuration = m_leases.request(report.target, m_leadershipUntil, now, reason);
    if (response.leaseDuration)
        return;
    ejection.isEjected = false;
    m_detector.setEjected(report.target, false, now);
    response.isReadmitted = true;
}

auto EjectionDecider::ejectLocked(const TargetReport& report, MonotonicTime now, TargetReportResponse& response) -> void
{
    Error reason;
    excludeUnreportedCapacityLocked(now);
    response.leaseDuration = m_leases.request(report.target, m_leadershipUntil, now, reason);
    if (!response.leaseDuration) {
        response.isLessPreferred = true;
        return;
    }
    auto& ejection = m_ejections[report.target];
    ejection.backoff.start(m_options.ejectionTime, now);
    ejection.isEjected = true;
    m_detector.setEjected(report.target, true, now);
}

auto EjectionDecider::removeTarget(std::string_view target) -> void
{
    const MutexLock lock(m_mutex);
    m_leases.removeTarget(target);
    m_detector.removeTarget(target);
    if (const auto found = m_capacities.find(target); found != m_capacities.end())
        m_capacities.erase(found);
}

auto EjectionDecider::peersToPoll(MonotonicTime now) -> std::vector<std::string>
{
    const MutexLock lock(m_mutex);
    return m_detector.peersToPoll(now);
}

auto EjectionDecider::healthySlots(MonotonicTime now) const -> int
{
    const MutexLock lock(m_mutex);
    return m_leases.healthySlots(now);
}

} // namespace coriandergate::health
