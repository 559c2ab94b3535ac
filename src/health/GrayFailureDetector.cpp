#include "health/GrayFailureDetector.h"

#include <algorithm>

namespace coriandergate::health {

namespace {
    constexpr std::size_t maxScannedPeers = 64;
    constexpr auto maxServiceTimesPerPeer = 40.0f; // larger samples are scaled down, so that no busy peer dominates
    constexpr auto decayFactorPerReport = 0.8f;
    constexpr auto reejectionThresholdDuration = std::chrono::seconds(60);
    constexpr auto requiredConfirmations = 2;
    constexpr std::size_t minServiceWideSuspicious = 3;

    auto causeOfFailures(const OutcomeCounts& outcomes) -> Cause
    {
        const auto half = outcomes.failures() / 2;
        if (outcomes.count(Outcome::TruncatedResponse) > half)
            return Cause::TruncatedResponses;
        return outcomes.count(Outcome::ConnectionFailed) > half ? Cause::Unreachable : Cause::Failing;
    }
}

GrayFailureDetector::GrayFailureDetector(const Options& options)
    : m_options(options)
{
}

auto GrayFailureDetector::receive(const TargetReport& report, MonotonicTime now) -> Verdict
{
    const auto target = m_targets.try_emplace(report.target).first;
    auto& state = target->second;
    if (report.sequence <= state.lastReport.sequence)
        return {};
    recordReport(state, report, now);
    if (report.isCold || report.isDraining || state.isEjected || !report.isSuspicious) {
        state.confirmations = 0;
        return {};
    }
    state.suspiciousAt = now;
    return evaluate(target, now);
}

auto GrayFailureDetector::recordReport(TargetState& state, const TargetReport& report, MonotonicTime now) -> void
{
    state.lastReport = report;
    state.receivedAt = now;
    if (report.isCold || report.recentOutcomes.successesAndFailures() == 0)
        return;
    state.decayedServiceTimes.scale(decayFactorPerReport);
    state.decayedServiceTimes.addScaled(report.recentServiceTimes, 1);
    state.decayedFailures
        = state.decayedFailures * decayFactorPerReport + static_cast<float>(report.recentOutcomes.failures());
    state.decayedRequests = state.decayedRequests * decayFactorPerReport
        + static_cast<float>(report.recentOutcomes.successesAndFailures());
}

auto GrayFailureDetector::evaluate(Targets::iterator target, MonotonicTime now) -> Verdict
{
    auto& state = target->second;
    const auto counts = countSuspicious(now);
    if (counts.suspicious >= minServiceWideSuspicious && counts.suspiciousShare() >= m_options.serviceWideShare) {
        state.confirmations = 0;
        return { Decision::ServiceWide, Cause::None, 0 };
    }
    const auto reference
        = recentPeerReference(target, counts.suspiciousShare() > m_options.maxExcludedSuspiciousShare, now);
    if (reference.serviceTimes.total() < m_options.minPeerServiceTimes)
        return { Decision::Observe, Cause::None, 0 };
    const auto baseline = Baseline::fromPeers(reference.serviceTimes, reference.failures, reference.requests);
    if (!baseline)
        return { Decision::Observe, Cause::None, 0 };
    auto verdict = evaluateEvidence(state.lastReport, *baseline);
    const auto usesReejectionThreshold = now < state.reejectionThresholdUntil;
    if (verdict.evidence
        < (usesReejectionThreshold ? m_options.reejectionThresholdNats : m_options.ejectionThresholdNats)) {
        state.confirmations = 0;
        return verdict;
    }
    if (state.confirmations == 0 || now - state.confirmedAt >= m_options.minConfirmationSpacing) {
        ++state.confirmations;
        state.confirmedAt = now;
    }
    if (state.confirmations >= requiredConfirmations)
        verdict.decision = Decision::Eject;
    return verdict;
}

auto GrayFailureDetector::evaluateEvidence(const TargetReport& report, const Baseline& baseline) const -> Verdict
{
    const auto bounded = [this](float evidence, int intervals) {
        return std::min(evidence, m_options.maxEvidencePerIntervalNats * static_cast<float>(intervals));
    };
    const auto serviceTimeEvidence = bounded(std::max(0.0f, baseline.serviceTimeEvidence(report.serviceTimesSinceOnset))
            + baseline.inFlightEvidence(report.inFlightTimes),
        report.serviceTimeIntervalsSinceOnset);
    const auto& outcomes = report.outcomesSinceOnset;
    const auto outcomeEvidence = bounded(static_cast<float>(outcomes.failures()) * baseline.failureEvidence()
            + static_cast<float>(outcomes.count(Outcome::Success)) * baseline.successEvidence(),
        report.outcomeIntervalsSinceOnset);
    Verdict verdict;
    verdict.decision = Decision::Observe;
    verdict.cause = outcomeEvidence > serviceTimeEvidence ? causeOfFailures(outcomes) : Cause::Slow;
    verdict.evidence = std::max(serviceTimeEvidence, outcomeEvidence)
        + (report.isSelfReportedUnhealthy ? m_options.selfReportedUnhealthyEvidenceNats : 0);
    return verdict;
}

// Takes the peers that follow the target in the order of names, at most maxScannedPeers, to bound the work in a very
// large service.
auto GrayFailureDetector::recentPeerReference(
    Targets::const_iterator target, bool includesSuspicious, MonotonicTime now) const -> Reference
{
    Reference reference;
    auto peer = target;
    for (std::size_t i = 0; i < std::min(maxScannedPeers, m_targets.size()); ++i) {
        if (++peer == m_targets.end())
            peer = m_targets.begin();
        if (peer == target)
            break;
        const auto& state = peer->second;
        if (state.isEjected || state.lastReport.isCold || now - state.receivedAt > m_options.maxReportAge)
            continue;
        if (!includesSuspicious && isSuspicious(state, now))
            continue;
        const auto& serviceTimes = state.lastReport.referenceServiceTimes();
        const auto& outcomes = state.lastReport.referenceOutcomes();
        const auto factor
            = serviceTimes.total() > maxServiceTimesPerPeer ? maxServiceTimesPerPeer / serviceTimes.total() : 1.0f;
        reference.serviceTimes.addScaled(serviceTimes, factor);
        reference.failures += factor * static_cast<float>(outcomes.failures());
        reference.requests += factor * static_cast<float>(outcomes.successesAndFailures());
    }
    return reference;
}

auto GrayFailureDetector::decayedReference() const -> Reference
{
    Reference reference;
    std::size_t scanned = 0;
    for (const auto& [name, state] : m_targets) {
        if (state.isEjected)
            continue;
        const auto total = state.decayedServiceTimes.total();
        const auto factor = total > maxServiceTimesPerPeer ? maxServiceTimesPerPeer / total : 1.0f;
        reference.serviceTimes.addScaled(state.decayedServiceTimes, factor);
        reference.failures += factor * state.decayedFailures;
        reference.requests += factor * state.decayedRequests;
        if (++scanned == maxScannedPeers)
            break;
    }
    return reference;
}

auto GrayFailureDetector::isSuspicious(const TargetState& state, MonotonicTime now) const -> bool
{
    return state.lastReport.isSuspicious && !state.isEjected && now - state.suspiciousAt <= m_options.suspicionLifetime;
}

auto GrayFailureDetector::countSuspicious(MonotonicTime now) const -> SuspicionCounts
{
    SuspicionCounts counts;
    for (const auto& [name, state] : m_targets) {
        counts.reporting += now - state.receivedAt <= m_options.reportLifetime ? 1 : 0;
        counts.suspicious += isSuspicious(state, now) ? 1 : 0;
    }
    return counts;
}

auto GrayFailureDetector::peersToPoll(MonotonicTime now) -> std::vector<std::string>
{
    const auto isAnySuspicious
        = std::ranges::any_of(m_targets, [this, now](const auto& entry) { return isSuspicious(entry.second, now); });
    std::vector<std::string> peers;
    if (!isAnySuspicious)
        return peers;
    const auto isDue = [this, now](MonotonicTime at) { return now - at > m_options.maxReportAge / 2; };
    for (auto& [name, state] : m_targets) {
        if (peers.size() == m_options.maxPolledPeers)
            break;
        if (state.isEjected || state.lastReport.isCold || !isDue(state.receivedAt) || !isDue(state.polledAt))
            continue;
        state.polledAt = now;
        peers.push_back(name);
    }
    return peers;
}

auto GrayFailureDetector::baseline() const -> std::optional<Baseline>
{
    const auto reference = decayedReference();
    return Baseline::fromPeers(reference.serviceTimes, reference.failures, reference.requests);
}

auto GrayFailureDetector::hasRecentReport(std::string_view target, MonotonicTime now) const -> bool
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && now - found->second.receivedAt <= m_options.reportLifetime;
}

auto GrayFailureDetector::setEjected(std::string_view target, bool isEjected, MonotonicTime now) -> void
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || found->second.isEjected == isEjected)
        return;
    found->second.isEjected = isEjected;
    found->second.confirmations = 0;
    if (!isEjected)
        found->second.reejectionThresholdUntil = now + reejectionThresholdDuration;
}

auto GrayFailureDetector::removeTarget(std::string_view target) -> void
{
    if (const auto found = m_targets.find(target); found != m_targets.end())
        m_targets.erase(found);
}

} // namespace coriandergate::health
