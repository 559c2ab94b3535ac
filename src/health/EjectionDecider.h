// Decides on ejection and readmission of the targets of one service, at the service's leader (the holder of the
// service's seat, see seat/SeatLease.h).
//
// It combines the detector, the ejection leases and the ejection times. A target that is ejected again soon after its
// readmission stays ejected twice as long as before, up to a maximum, so that a flapping target is ejected most of the
// time. While a target is ejected, each report on it also requests a renewal of the lease.
//
//   EjectionDecider decider({}, leaderSince);
//   decider.setLeadershipUntil(leadershipUntil);
//   const auto response = decider.receive(report, now);
#pragma once

#include "base/Mutex.h"
#include "health/EjectionLeaseManager.h"
#include "health/ExponentialBackoff.h"
#include "health/GrayFailureDetector.h"
#include "health/TargetReportResponse.h"

#include <map>
#include <string>
#include <vector>

namespace coriandergate::health {

// EjectionDecider serves one service. Safe from any thread; each service has its own lock.
class EjectionDecider {
public:
    struct Options {
        GrayFailureDetector::Options detector;
        EjectionLeaseManager::Options leases;
        ExponentialBackoff::Options ejectionTime; // how long a target stays ejected
    };

    // EjectionDecider() serves a daemon that has been the leader since `leaderSince`.
    EjectionDecider(const Options& options, MonotonicTime leaderSince);

    // setLeadershipUntil() sets until when this daemon may act as the leader.
    auto setLeadershipUntil(MonotonicTime until) -> void;

    // setHealthyFloor() sets the fraction of slots that must stay in service, 0 to 1.
    auto setHealthyFloor(double fraction) -> void;

    // receive() evaluates a report and returns the response, with an ejection lease if the target is to be ejected.
    [[nodiscard]] auto receive(const TargetReport& report, MonotonicTime now) -> TargetReportResponse;

    // removeTarget() records that `target` is no longer announced.
    auto removeTarget(std::string_view target) -> void;

    // peersToPoll() lists the targets that should send a report now; see GrayFailureDetector.
    [[nodiscard]] auto peersToPoll(MonotonicTime now) -> std::vector<std::string>;

    // healthySlots() is the number of serving slots without an ejection lease, as the leader counts them.
    [[nodiscard]] auto healthySlots(MonotonicTime now) const -> int;

private:
    struct Ejection {
        ExponentialBackoff backoff;
        bool isEjected = false;
    };

    REQUIRES(m_mutex) auto updateCapacityLocked(const TargetReport& report) -> void;
    REQUIRES(m_mutex) auto excludeUnreportedCapacityLocked(MonotonicTime now) -> void;
    [[nodiscard]] REQUIRES(m_mutex) auto baselineLocked(MonotonicTime now) -> std::optional<Baseline>;
    REQUIRES(m_mutex)
    auto renewOrReadmitLocked(
        const TargetReport& report, Ejection& ejection, MonotonicTime now, TargetReportResponse& response) -> void;
    REQUIRES(m_mutex)
    auto ejectLocked(const TargetReport& report, MonotonicTime now, TargetReportResponse& response) -> void;

    const Options m_options;
    mutable Mutex m_mutex;
    MonotonicTime m_leadershipUntil GUARDED_BY(m_mutex);
    std::optional<Baseline> m_baseline GUARDED_BY(m_mutex);
    MonotonicTime m_baselineComputedAt GUARDED_BY(m_mutex);
    GrayFailureDetector m_detector GUARDED_BY(m_mutex);
    EjectionLeaseManager m_leases GUARDED_BY(m_mutex);
    std::map<std::string, EjectionLeaseManager::Capacity, std::less<>> m_capacities GUARDED_BY(m_mutex);
    std::map<std::string, Ejection, std::less<>> m_ejections GUARDED_BY(m_mutex);
};

} // namespace coriandergate::health
