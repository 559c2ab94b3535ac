// Observes every request that the daemon beside a target sends to it, and notices when its behaviour departs from the
// baseline of its peers.
//
// Service time runs from the first byte sent to the target until its answer is whole; time in a queue is not part of
// it. Two CUSUM tests run at every interval, one over service times and one over outcomes. Evidence an interval is
// bounded, so that one pause, which hits everything in flight at once, is not enough. Requests still in flight count
// with the time they have taken so far, so that a target which answers nothing at all is noticed too.
//
//   TargetObserver observer({ .service = "ledger", .target = "10.0.0.7:9000", .slots = 6 }, {});
//   const auto ticket = observer.begin(now);
//   observer.finish(ticket, Outcome::Success, later);
//   if (observer.endInterval(later)) // every 250 ms
//       send(observer.report());
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
        float suspicionThreshold = 10; // nats of evidence from which on a target is suspicious
        float onsetThreshold = 3; // nats from which on reports tell what came since the evidence began to grow
        float evidencePerInterval = 5; // nats, the most that one interval adds
        int maximumIntervals = 240; // after which the evidence so far is dropped
        int refusalsUntilUnreachable = 1; // failed connections in a row; on its own host one tells enough
        std::chrono::milliseconds coldGrace { 3000 }; // after a start, service times are not judged
    };

    struct Identity {
        std::string service;
        std::string target;
        int slots = 1;
    };

    // Ticket stands for one attempt in flight.
    struct Ticket {
        std::size_t index = 0;
        MonotonicTime startedAt;
    };

    // TargetObserver() observes `identity`, which started just `now`.
    TargetObserver(Identity identity, const Options& options, MonotonicTime now);

    // begin() notes that a request goes to the target now.
    [[nodiscard]] auto begin(MonotonicTime now) -> Ticket;

    // finish() notes how the attempt of `ticket` ended. Each ticket is finished exactly once.
    auto finish(const Ticket& ticket, Outcome outcome, MonotonicTime now) -> void;

    // endInterval() closes the interval of observation, runs the tests and tells whether the target is suspicious.
    auto endInterval(MonotonicTime now) -> bool;

    // report() is the report of the present state with the next sequence number. Flags that others know of
    // (isDraining, holdsEjectionLease) are left for the caller to set.
    [[nodiscard]] auto report(MonotonicTime now) -> TargetReport;

    // setBaseline() takes over what is normal for the target's peers; before the first call nothing is suspicious.
    auto setBaseline(const Baseline& baseline) -> void;

    // setSelfReportedSick() notes what the target's own health endpoint says.
    auto setSelfReportedSick(bool isSick) -> void;

    // restart() forgets all evidence and begins the grace of a cold start, for a target that was started or readmitted.
    auto restart(MonotonicTime now) -> void;

    // needsBaseline() tells whether requests were observed and there is nothing yet to compare them with.
    [[nodiscard]] auto needsBaseline() const -> bool;

    // isUnreachable() tells whether the target refused the last connections on its own host, the very last one within
    // half a second, after which it is worth another try. It then can't serve; an ejection would add nothing.
    [[nodiscard]] auto isUnreachable(MonotonicTime now) const -> bool;

    // inFlight() is the number of attempts that have begun and not finished.
    [[nodiscard]] auto inFlight() const -> int;

private:
    static constexpr std::size_t s_trackedCount = 64;
    static constexpr std::size_t s_recentIntervalCount = 8;

    struct Interval {
        ServiceTimeHistogram times;
        OutcomeCounts outcomes;
    };

    // Sum is one CUSUM test: the evidence, and for how many intervals there has been any.
    struct Sum {
        float evidence = 0; // of what has ended
        float pending = 0; // of what is in flight
        int intervals = 0;

        [[nodiscard]] auto bounded(float evidencePerInterval) const -> float
        {
            return std::min(evidence + pending, evidencePerInterval * static_cast<float>(intervals));
        }
    };

    [[nodiscard]] REQUIRES(m_mutex) auto inFlightTimesLocked(MonotonicTime now) const -> ServiceTimeHistogram;
    REQUIRES(m_mutex) auto judgeTimesLocked(MonotonicTime now) -> void;
    REQUIRES(m_mutex) auto judgeOutcomesLocked() -> void;
    REQUIRES(m_mutex) auto addEvidenceLocked(Sum& sum, float evidence) -> void;
    [[nodiscard]] REQUIRES(m_mutex) auto isSuspiciousLocked() const -> bool;
    [[nodiscard]] REQUIRES(m_mutex) auto isUnreachableLocked(MonotonicTime now) const -> bool;
    [[nodiscard]] REQUIRES(m_mutex) auto currentLocked() -> Interval& { return m_recent[m_current]; }

    const Identity m_identity;
    const Options m_options;
    mutable Mutex m_mutex;
    std::array<MonotonicTime, s_trackedCount> m_startedAt GUARDED_BY(m_mutex);
    std::uint64_t m_tracked GUARDED_BY(m_mutex) = 0; // one bit for each entry of m_startedAt in use
    int m_inFlight GUARDED_BY(m_mutex) = 0;
    int m_refusals GUARDED_BY(m_mutex) = 0;
    MonotonicTime m_refusedAt GUARDED_BY(m_mutex);
    std::array<Interval, s_recentIntervalCount> m_recent GUARDED_BY(m_mutex);
    std::size_t m_current GUARDED_BY(m_mutex) = 0;
    std::optional<Baseline> m_baseline GUARDED_BY(m_mutex);
    Sum m_timeSum GUARDED_BY(m_mutex);
    Sum m_outcomeSum GUARDED_BY(m_mutex);
    ServiceTimeHistogram m_pendingTimes GUARDED_BY(m_mutex);
    ServiceTimeHistogram m_suspectTimes GUARDED_BY(m_mutex);
    OutcomeCounts m_suspectOutcomes GUARDED_BY(m_mutex);
    MonotonicTime m_coldUntil GUARDED_BY(m_mutex);
    bool m_isSelfReportedSick GUARDED_BY(m_mutex) = false;
    std::uint64_t m_sequence GUARDED_BY(m_mutex) = 0;
};

} // namespace coriandergate::health
