// Observes every request that the daemon on a target's host sends to the target, and detects when the target's
// behaviour departs from the baseline of its peers.
//
// Service time runs from the first byte sent to the target until its response is complete; queueing time is not part of
// it. Two CUSUM tests run at every interval, one over service times and one over outcomes. The evidence that an
// interval adds is bounded, so that a single pause, which delays everything in flight at once, is not enough. Requests
// in flight count with the time they have taken so far, so that a target that does not respond at all is detected too.
//
//   TargetObserver observer({ .service = "ledger", .target = "10.0.0.7:9000", .slots = 6 }, {}, now);
//   const auto ticket = observer.begin(now);
//   observer.finish(ticket, Outcome::Success, later);
//   if (observer.endInterval(later)) // every 250 ms
//       send(observer.report(later));
#pragma once

#include "base/Clock.h"
#include "base/Mutex.h"
#include "health/Baseline.h"
#include "health/Outcome.h"
#include "health/TargetReport.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

namespace coriandergate::health {

// TargetObserver observes one target. Safe from any thread; each target has its own lock.
class TargetObserver {
public:
    struct Options {
        std::chrono::milliseconds interval { 250 }; // how often endInterval() is called
        float suspicionThresholdNats = 10; // evidence from which on a target is suspicious
        // Evidence from which on reports include the data since its onset, the interval in which it rose above zero.
        float onsetThresholdNats = 3;
        float maxEvidencePerIntervalNats = 5;
        int maxEvidenceIntervals = 240; // after more successive intervals with evidence, the evidence is discarded
        int connectionFailuresUntilUnreachable = 1; // in a row; one is conclusive on the same host
        std::chrono::milliseconds coldGrace { 3000 }; // after a start, during which results are ignored
    };

    struct Identity {
        std::string service;
        std::string target;
        int slots = 1;
    };

    // Ticket identifies one attempt in flight.
    struct Ticket {
        std::size_t index = 0;
        MonotonicTime startedAt;
    };

    // TargetObserver() observes the target `identity`, which was started at `now`.
    TargetObserver(Identity identity, const Options& options, MonotonicTime now);

    // begin() records that a request is sent to the target at `now`.
    [[nodiscard]] auto begin(MonotonicTime now) -> Ticket;

    // finish() records the outcome of an attempt. Call it exactly once for each ticket.
    auto finish(const Ticket& ticket, Outcome outcome, MonotonicTime now) -> void;

    // endInterval() ends the observation interval, updates both tests and tells whether the target is suspicious.
    auto endInterval(MonotonicTime now) -> bool;

    // report() builds a report of the current state with the next sequence number. The caller sets isDraining and
    // holdsEjectionLease.
    [[nodiscard]] auto report(MonotonicTime now) -> TargetReport;

    // setBaseline() sets the baseline of the target's peers. Before the first call the target is never suspicious.
    auto setBaseline(const Baseline& baseline) -> void;

    // setSelfReportedUnhealthy() sets the result of the target's own health endpoint.
    auto setSelfReportedUnhealthy(bool isUnhealthy) -> void;

    // restart() discards all evidence and begins the cold-start grace, for a target that was restarted or readmitted.
    auto restart(MonotonicTime now) -> void;

    // needsBaseline() tells whether requests were observed recently but no baseline is set.
    [[nodiscard]] auto needsBaseline() const -> bool;

    // isUnreachable() tells whether the last connections to the target failed, the last one less than half a second
    // ago; after that another attempt is worthwhile. An unreachable target can't serve, so ejecting it would change
    // nothing.
    [[nodiscard]] auto isUnreachable(MonotonicTime now) const -> bool;

    // inFlight() is the number of attempts in flight.
    [[nodiscard]] auto inFlight() const -> int;

private:
    // The bits of m_trackedAttempts. Attempts beyond this number are timed only when they finish.
    static constexpr std::size_t s_maxTrackedAttempts = 64;
    static constexpr std::size_t s_recentIntervalCount = 8; // two seconds of 250 ms intervals

    struct Interval {
        ServiceTimeHistogram times;
        OutcomeCounts outcomes;
    };

    // CusumState is the state of one CUSUM test.
    struct CusumState {
        float evidence = 0; // nats, from finished attempts
        float pending = 0; // nats, from attempts in flight
        int intervals = 0; // successive intervals with evidence

        [[nodiscard]] auto boundedEvidence(float maxEvidencePerIntervalNats) const -> float
        {
            return std::min(evidence + pending, maxEvidencePerIntervalNats * static_cast<float>(intervals));
        }
    };

    [[nodiscard]] REQUIRES(m_mutex) auto inFlightTimesLocked(MonotonicTime now) const -> ServiceTimeHistogram;
    REQUIRES(m_mutex) auto updateServiceTimeCusumLocked(MonotonicTime now) -> void;
    REQUIRES(m_mutex) auto updateOutcomeCusumLocked() -> void;
    REQUIRES(m_mutex) auto addEvidenceLocked(CusumState& cusum, float evidence) -> void;
    [[nodiscard]] REQUIRES(m_mutex) auto isSuspiciousLocked() const -> bool;
    [[nodiscard]] REQUIRES(m_mutex) auto isUnreachableLocked(MonotonicTime now) const -> bool;
    [[nodiscard]] REQUIRES(m_mutex) auto currentIntervalLocked() -> Interval&
    {
        return m_recentIntervals[m_currentInterval];
    }

    const Identity m_identity;
    const Options m_options;
    mutable Mutex m_mutex;
    std::array<MonotonicTime, s_maxTrackedAttempts> m_startedAt GUARDED_BY(m_mutex);
    std::uint64_t m_trackedAttempts GUARDED_BY(m_mutex) = 0; // bit i is set if m_startedAt[i] is in use
    int m_inFlight GUARDED_BY(m_mutex) = 0;
    int m_consecutiveConnectionFailures GUARDED_BY(m_mutex) = 0;
    MonotonicTime m_lastFinishedAt GUARDED_BY(m_mutex);
    std::array<Interval, s_recentIntervalCount> m_recentIntervals GUARDED_BY(m_mutex);
    std::size_t m_currentInterval GUARDED_BY(m_mutex) = 0;
    std::optional<Baseline> m_baseline GUARDED_BY(m_mutex);
    CusumState m_serviceTimeCusum GUARDED_BY(m_mutex);
    CusumState m_outcomeCusum GUARDED_BY(m_mutex);
    ServiceTimeHistogram m_inFlightTimes GUARDED_BY(m_mutex);
    ServiceTimeHistogram m_serviceTimesSinceOnset GUARDED_BY(m_mutex);
    OutcomeCounts m_outcomesSinceOnset GUARDED_BY(m_mutex);
    MonotonicTime m_coldUntil GUARDED_BY(m_mutex);
    bool m_isSelfReportedUnhealthy GUARDED_BY(m_mutex) = false;
    std::uint64_t m_sequence GUARDED_BY(m_mutex) = 0;
};

} // namespace coriandergate::health
