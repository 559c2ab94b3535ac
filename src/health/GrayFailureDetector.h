// Tells gray targets of one service from healthy ones by comparing each with its peers.
//
// The daemons beside the targets notice that something departs from the baseline; the detector, at the seat holder,
// sees the whole service and repeats the test against fresh reports of the peers. A slowdown of the whole service moves
// the peers as well and leaves no evidence against any one of them. Evidence must hold in two successive reports.
//
//   GrayDetector detector({});
//   const auto verdict = detector.receive(report, now);
//   for (const auto& peer : detector.peersToPoll(now))
//       askForReport(peer);
#pragma once

#include "base/Clock.h"
#include "health/Baseline.h"
#include "health/TargetReport.h"
#include "health/Verdict.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::health {

// GrayDetector judges the targets of one service. Not thread-safe: the owner locks each service.
class GrayDetector {
public:
    struct Options {
        float ejectionThreshold = 20; // nats
        float recurrenceThreshold = 14; // nats, for a target that was readmitted lately
        float evidencePerInterval = 5; // nats, as in TargetObserver::Options
        float selfReportedSickness = 3; // nats that a target's own bad report adds; a good one takes nothing away
        float freshPeerTimes = 30; // service times of peers that a verdict needs
        std::chrono::milliseconds freshness { 1500 }; // age up to which a peer's report counts as fresh
        std::chrono::milliseconds confirmationSpacing { 200 }; // least time between the two reports that eject
        std::chrono::milliseconds suspicionMemory { 3000 }; // for how long a suspicious report counts
        std::chrono::milliseconds reportMemory { 25000 }; // for how long a target counts as heard of
        double wholeServiceShare = 0.4; // of the targets heard of; so many suspicious ones are no single target's fault
        double suspectShare = 0.25; // of the targets heard of; up to so many suspicious ones are left out of references
        std::size_t peersAsked = 16; // at the most, to be asked for a fresh report
    };

    explicit GrayDetector(const Options& options);

    // receive() takes a report and judges its target. Reports older than the newest one of the target change nothing.
    // Work grows with the number of peers looked at, 64 at the most.
    auto receive(const TargetReport& report, MonotonicTime now) -> Verdict;

    // peersToPoll() lists targets without a fresh report, while some target is suspicious; otherwise nothing. Each is
    // listed at most once within half the freshness, so that the answers don't bring forth more questions.
    [[nodiscard]] auto peersToPoll(MonotonicTime now) -> std::vector<std::string>;

    // baseline() is what is normal for the service; none before 20 service times were reported. It follows a slowdown
    // of the whole service within a few reports.
    [[nodiscard]] auto baseline() const -> std::optional<Baseline>;

    // isHeardOf() tells whether `target` was reported on lately.
    [[nodiscard]] auto isHeardOf(std::string_view target, MonotonicTime now) const -> bool;

    // setEjected() leaves `target` out of every reference while it is ejected; when it comes back, evidence against it
    // starts anew, with the lower threshold for a while.
    auto setEjected(std::string_view target, bool isEjected, MonotonicTime now) -> void;

    // removeTarget() forgets `target`.
    auto removeTarget(std::string_view target) -> void;

private:
    struct Observed {
        TargetReport last;
        MonotonicTime receivedAt;
        MonotonicTime askedAt;
        MonotonicTime suspiciousAt;
        MonotonicTime confirmedAt;
        MonotonicTime watchedUntil; // the lower threshold holds until then
        int confirmations = 0;
        bool isEjected = false;
        ServiceTimeHistogram lastingTimes; // fading, for when too few fresh reports are there
        float lastingFailures = 0;
        float lastingRequests = 0;
    };

    // Census counts targets.
    struct Census {
        std::size_t heardOf = 0;
        std::size_t suspicious = 0;

        [[nodiscard]] auto suspiciousShare() const -> double
        {
            return heardOf == 0 ? 0 : static_cast<double>(suspicious) / static_cast<double>(heardOf);
        }
    };

    // Reference gathers what peers reported.
    struct Reference {
        ServiceTimeHistogram times;
        float failures = 0;
        float requests = 0;
    };

    using Targets = std::map<std::string, Observed, std::less<>>;

    [[nodiscard]] auto judge(Targets::iterator target, MonotonicTime now) -> Verdict;
    [[nodiscard]] auto freshReference(Targets::const_iterator target, bool isWithSuspects, MonotonicTime now) const
        -> Reference;
    [[nodiscard]] auto lastingReference() const -> Reference;
    [[nodiscard]] auto evidenceAgainst(const TargetReport& report, const Baseline& baseline) const -> Verdict;
    [[nodiscard]] auto census(MonotonicTime now) const -> Census;
    [[nodiscard]] auto isSuspicious(const Observed& observed, MonotonicTime now) const -> bool;
    auto takeOver(Observed& observed, const TargetReport& report, MonotonicTime now) -> void;

    const Options m_options;
    Targets m_targets;
};

} // namespace coriandergate::health
