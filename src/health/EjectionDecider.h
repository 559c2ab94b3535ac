// The seat holder's decisions on one service: detector, permits and the times for which targets stay out.
//
// A target that is ejected again soon after it came back stays out twice as long as before, up to a bound, so that a
// flapping one is out most of the time. While it is out its permit is renewed with every report of its daemon.
//
//   EjectionDecider decider({}, seatHeldSince);
//   decider.setLeadershipUntil(seatHeldUntil);
//   const auto answer = decider.receive(report, now);
#pragma once

#include "base/Mutex.h"
#include "health/EjectionPermits.h"
#include "health/GrayDetector.h"
#include "health/GrowingHold.h"
#include "health/TargetReportResponse.h"

#include <map>
#include <string>
#include <vector>

namespace coriandergate::health {

// EjectionDecider serves one service. Safe from any thread; each service has its own lock.
class EjectionDecider {
public:
    struct Options {
        GrayDetector::Options detector;
        EjectionPermits::Options leases;
        GrowingHold::Options ejectionTime; // how long a target stays out
    };

    EjectionDecider(const Options& options, MonotonicTime seatHeldSince);

    // setLeadershipUntil() notes until when this daemon may act as the holder of the seat.
    auto setLeadershipUntil(MonotonicTime until) -> void;

    // setHealthyFloor() takes over a newly declared floor, 0 to 1.
    auto setHealthyFloor(double fraction) -> void;

    // receive() takes a report and answers it, with a permit where the target is to be out of service.
    [[nodiscard]] auto receive(const TargetReport& report, MonotonicTime now) -> TargetReportResponse;

    // removeTarget() notes that `target` is no longer announced.
    auto removeTarget(std::string_view target) -> void;

    // peersToPoll() lists the targets of which a verdict needs a fresh report now.
    [[nodiscard]] auto peersToPoll(MonotonicTime now) -> std::vector<std::string>;

    // healthySlots() is the capacity that serves, as the holder counts it.
    [[nodiscard]] auto healthySlots(MonotonicTime now) const -> int;

private:
    struct Ejection {
        GrowingHold hold;
        bool isEjected = false;
    };

    REQUIRES(m_mutex) auto updateCapacityLocked(const TargetReport& report) -> void;
    REQUIRES(m_mutex) auto dropSilentCapacityLocked(MonotonicTime now) -> void;
    [[nodiscard]] REQUIRES(m_mutex) auto baselineLocked(MonotonicTime now) -> std::optional<Baseline>;
    REQUIRES(m_mutex)
    auto renewLocked(const TargetReport& report, Ejection& ejection, MonotonicTime now, TargetReportResponse& answer)
        -> void;
    REQUIRES(m_mutex)
    auto ejectLocked(const TargetReport& report, MonotonicTime now, TargetReportResponse& answer) -> void;

    const Options m_options;
    mutable Mutex m_mutex;
    MonotonicTime m_seatHeldUntil GUARDED_BY(m_mutex);
    std::optional<Baseline> m_baseline GUARDED_BY(m_mutex);
    MonotonicTime m_baselineAt GUARDED_BY(m_mutex);
    GrayDetector m_detector GUARDED_BY(m_mutex);
    EjectionPermits m_permits GUARDED_BY(m_mutex);
    std::map<std::string, EjectionPermits::Capacity, std::less<>> m_capacities GUARDED_BY(m_mutex);
    std::map<std::string, Ejection, std::less<>> m_ejections GUARDED_BY(m_mutex);
};

} // namespace coriandergate::health
