// Detects gray failures: targets of one service that still respond, but more slowly or with more failures than their
// peers.
//
// The daemon on a target's host notices that the target departs from the service's baseline and reports it. The
// detector runs at the service's leader (the holder of the service's seat, see seat/SeatLease.h), sees all targets of
// the service, and repeats the test against recent reports of the peers. A slowdown of the whole service affects the
// peers as well and so gives no evidence against any single target. A target is ejected only when two successive
// reports give enough evidence.
//
//   GrayFailureDetector detector({});
//   const auto verdict = detector.receive(report, now);
//   for (const auto& peer : detector.peersToPoll(now))
//       requestReport(peer);
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

// GrayFailureDetector evaluates the targets of one service. Not thread-safe: the caller locks.
class GrayFailureDetector {
public:
    // Evidence is a log-likelihood ratio, see Baseline. The shares are fractions of the targets with a report within
    // `reportLifetime`.
    struct Options {
        float ejectionThresholdNats = 20;
        float reejectionThresholdNats = 14; // instead of ejectionThresholdNats for a recently readmitted target
        float maxEvidencePerIntervalNats = 5; // as in TargetObserver::Options
        float selfReportedUnhealthyEvidenceNats = 3; // added by an unhealthy self-report; a healthy one adds nothing
        float minPeerServiceTimes = 30; // service times of peers needed for a comparison
        std::chrono::milliseconds maxReportAge { 1500 }; // older reports of peers are left out of the comparison
        std::chrono::milliseconds minConfirmationSpacing { 200 }; // between the two reports that cause an ejection
        std::chrono::milliseconds suspicionLifetime { 3000 }; // how long a suspicious report counts
        std::chrono::milliseconds reportLifetime { 25000 }; // how long a target counts as reporting
        // From this share of suspicious targets on, and at least 3 of them, the problem is service-wide.
        double serviceWideShare = 0.4;
        double maxExcludedSuspiciousShare = 0.25; // up to this share, suspicious targets are left out of the comparison
        std::size_t maxPolledPeers = 16; // per call of peersToPoll()
    };

    explicit GrayFailureDetector(const Options& options);

    // receive() stores a report and evaluates its target. A report that is not newer than the target's last one is
    // ignored. The cost of a suspicious report is linear in the number of targets, but at most 64 peers are compared.
    auto receive(const TargetReport& report, MonotonicTime now) -> Verdict;

    // peersToPoll() lists targets whose last report is older than half of maxReportAge, if any target is suspicious;
    // otherwise none. It lists each target at most once in that time, so that the reports received in turn do not cause
    // more polling.
    [[nodiscard]] auto peersToPoll(MonotonicTime now) -> std::vector<std::string>;

    // baseline() is the current baseline of the service; none before 20 service times were reported. It follows a
    // slowdown of the whole service within a few reports.
    [[nodiscard]] auto baseline() const -> std::optional<Baseline>;

    // hasRecentReport() tells whether a report on `target` was received within reportLifetime.
    [[nodiscard]] auto hasRecentReport(std::string_view target, MonotonicTime now) const -> bool;

    // setEjected() excludes `target` from comparisons while it is ejected. After readmission, its confirmations start
    // from zero and reejectionThresholdNats applies to it for a minute.
    auto setEjected(std::string_view target, bool isEjected, MonotonicTime now) -> void;

    // removeTarget() drops all state of `target`.
    auto removeTarget(std::string_view target) -> void;

private:
    struct TargetState {
        TargetReport lastReport;
        MonotonicTime receivedAt;
        MonotonicTime polledAt;
        MonotonicTime suspiciousAt;
        MonotonicTime confirmedAt;
        MonotonicTime reejectionThresholdUntil; // reejectionThresholdNats applies until then
        int confirmations = 0; // successive reports with enough evidence for an ejection
        bool isEjected = false;
        ServiceTimeHistogram decayedServiceTimes; // exponentially decayed sums over reports, for baseline()
        float decayedFailures = 0;
        float decayedRequests = 0;
    };

    // SuspicionCounts holds numbers of targets.
    struct SuspicionCounts {
        std::size_t reporting = 0; // with a report within reportLifetime
        std::size_t suspicious = 0;

        [[nodiscard]] auto suspiciousShare() const -> double
        {
            return reporting == 0 ? 0 : static_cast<double>(suspicious) / static_cast<double>(reporting);
        }
    };

    // Reference is the sum of what several targets reported, the sample that a target is compared with.
    struct Reference {
        ServiceTimeHistogram serviceTimes;
        float failures = 0;
        float requests = 0;
    };

    using Targets = std::map<std::string, TargetState, std::less<>>;

    [[nodiscard]] auto evaluate(Targets::iterator target, MonotonicTime now) -> Verdict;
    [[nodiscard]] auto recentPeerReference(
        Targets::const_iterator target, bool includesSuspicious, MonotonicTime now) const -> Reference;
    [[nodiscard]] auto decayedReference() const -> Reference;
    [[nodiscard]] auto evaluateEvidence(const TargetReport& report, const Baseline& baseline) const -> Verdict;
    [[nodiscard]] auto countSuspicious(MonotonicTime now) const -> SuspicionCounts;
    [[nodiscard]] auto isSuspicious(const TargetState& state, MonotonicTime now) const -> bool;
    auto recordReport(TargetState& state, const TargetReport& report, MonotonicTime now) -> void;

    const Options m_options;
    Targets m_targets;
};

} // namespace coriandergate::health
