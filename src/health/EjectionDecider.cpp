#include "health/EjectionDecider.h"

#include "base/Error.h"

namespace coriandergate::health {

namespace {
    constexpr auto baselinePeriod = std::chrono::milliseconds(500);
}

EjectionDecider::EjectionDecider(const Options& options, MonotonicTime seatHeldSince)
    : m_options(options)
    , m_detector(options.detector)
    , m_permits(options.leases, seatHeldSince)
{
}

auto EjectionDecider::setLeadershipUntil(MonotonicTime until) -> void
{
    const MutexLock lock(m_mutex);
    m_seatHeldUntil = until;
}

auto EjectionDecider::setHealthyFloor(double fraction) -> void
{
    const MutexLock lock(m_mutex);
    m_permits.setHealthyFloor(fraction);
}

auto EjectionDecider::receive(const TargetReport& report, MonotonicTime now) -> TargetReportResponse
{
    const MutexLock lock(m_mutex);
    TargetReportResponse answer;
    answer.sequence = report.sequence;
    answer.verdict = m_detector.receive(report, now);
    answer.baseline = baselineLocked(now);
    updateCapacityLocked(report);
    const auto ejection = m_ejections.find(report.target);
    if (ejection != m_ejections.end() && ejection->second.isEjected)
        renewLocked(report, ejection->second, now, answer);
    else if (answer.verdict.decision == Decision::Eject)
        ejectLocked(report, now, answer);
    else if (report.holdsEjectionLease)
        answer.isReadmitted = true; // a permit of the seat's former holder, which this one knows no reason for
    return answer;
}

auto EjectionDecider::updateCapacityLocked(const TargetReport& report) -> void
{
    const auto isServing = !report.isCold && !report.isDraining && !report.isUnreachable;
    m_capacities[report.target] = { report.slots, isServing };
    m_permits.updateTarget(report.target, { report.slots, isServing });
}

// Whoever fell silent gives no capacity that an ejection could count on.
auto EjectionDecider::dropSilentCapacityLocked(MonotonicTime now) -> void
{
    for (const auto& [target, capacity] : m_capacities)
        m_permits.updateTarget(target, { capacity.slots, capacity.isServing && m_detector.isHeardOf(target, now) });
}

auto EjectionDecider::baselineLocked(MonotonicTime now) -> std::optional<Baseline>
{
    if (m_baseline && now - m_baselineAt < baselinePeriod)
        return m_baseline;
    m_baseline = m_detector.baseline();
    m_baselineAt = now;
    return m_baseline;
}

auto EjectionDecider::renewLocked(
    const TargetReport& report, Ejection& ejection, MonotonicTime now, TargetReportResponse& answer) -> void
{
    Error reason;
    dropSilentCapacityLocked(now);
    if (!ejection.hold.isOver(now))
        answer.leaseDuration = m_permits.request(report.target, m_seatHeldUntil, now, reason);
    if (answer.leaseDuration)
        return;
    ejection.isEjected = false;
    m_detector.setEjected(report.target, false, now);
    answer.isReadmitted = true;
}

auto EjectionDecider::ejectLocked(const TargetReport& report, MonotonicTime now, TargetReportResponse& answer) -> void
{
    Error reason;
    dropSilentCapacityLocked(now);
    answer.leaseDuration = m_permits.request(report.target, m_seatHeldUntil, now, reason);
    if (!answer.leaseDuration) {
        answer.isLessPreferred = true;
        return;
    }
    auto& ejection = m_ejections[report.target];
    ejection.hold.begin(m_options.ejectionTime, now);
    ejection.isEjected = true;
    m_detector.setEjected(report.target, true, now);
}

auto EjectionDecider::removeTarget(std::string_view target) -> void
{
    const MutexLock lock(m_mutex);
    m_permits.removeTarget(target);
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
    return m_permits.healthySlots(now);
}

} // namespace coriandergate::health
