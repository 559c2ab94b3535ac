#include "health/GrayDetector.h"

#include <algorithm>

namespace coriandergate::health {

namespace {
    constexpr std::size_t peersLookedAt = 64;
    constexpr auto timesPerPeer = 40.0f; // so that one busy peer does not stand for all
    constexpr auto fadingPerReport = 0.8f;
    constexpr auto recurrenceWatch = std::chrono::seconds(60);
    constexpr auto confirmationsNeeded = 2;
    constexpr std::size_t suspectsOfWholeService = 3;

    auto causeOfFailures(const OutcomeCounts& outcomes) -> Cause
    {
        const auto half = outcomes.failures() / 2;
        if (outcomes.of(Outcome::TruncatedResponse) > half)
            return Cause::TruncatedResponses;
        return outcomes.of(Outcome::ConnectionFailed) > half ? Cause::Unreachable : Cause::Failing;
    }
}

GrayDetector::GrayDetector(const Options& options)
    : m_options(options)
{
}

auto GrayDetector::receive(const TargetReport& report, MonotonicTime now) -> Verdict
{
    const auto target = m_targets.try_emplace(report.target).first;
    auto& observed = target->second;
    if (report.sequence <= observed.last.sequence)
        return {};
    takeOver(observed, report, now);
    if (report.isCold || report.isDraining || observed.isEjected || !report.isSuspicious) {
        observed.confirmations = 0;
        return {};
    }
    observed.suspiciousAt = now;
    return judge(target, now);
}

auto GrayDetector::takeOver(Observed& observed, const TargetReport& report, MonotonicTime now) -> void
{
    observed.last = report;
    observed.receivedAt = now;
    if (report.isCold || report.recentOutcomes.judged() == 0)
        return;
    observed.lastingTimes.scale(fadingPerReport);
    observed.lastingTimes.addScaled(report.recentTimes, 1);
    observed.lastingFailures
        = observed.lastingFailures * fadingPerReport + static_cast<float>(report.recentOutcomes.failures());
    observed.lastingRequests
        = observed.lastingRequests * fadingPerReport + static_cast<float>(report.recentOutcomes.judged());
}

auto GrayDetector::judge(Targets::iterator target, MonotonicTime now) -> Verdict
{
    auto& observed = target->second;
    const auto counted = census(now);
    if (counted.suspicious >= suspectsOfWholeService && counted.suspiciousShare() >= m_options.wholeServiceShare) {
        observed.confirmations = 0;
        return { Decision::ServiceWide, Cause::None, 0 };
    }
    const auto reference = freshReference(target, counted.suspiciousShare() > m_options.suspectShare, now);
    if (reference.times.total() < m_options.freshPeerTimes)
        return { Decision::Observe, Cause::None, 0 };
    const auto baseline = Baseline::of(reference.times, reference.failures, reference.requests);
    if (!baseline)
        return { Decision::Observe, Cause::None, 0 };
    auto verdict = evidenceAgainst(observed.last, *baseline);
    const auto isWatched = now < observed.watchedUntil;
    if (verdict.evidence < (isWatched ? m_options.recurrenceThreshold : m_options.ejectionThreshold)) {
        observed.confirmations = 0;
        return verdict;
    }
    if (observed.confirmations == 0 || now - observed.confirmedAt >= m_options.confirmationSpacing) {
        ++observed.confirmations;
        observed.confirmedAt = now;
    }
    if (observed.confirmations >= confirmationsNeeded)
        verdict.decision = Decision::Eject;
    return verdict;
}

auto GrayDetector::evidenceAgainst(const TargetReport& report, const Baseline& baseline) const -> Verdict
{
    const auto bounded = [this](float evidence, int intervals) {
        return std::min(evidence, m_options.evidencePerInterval * static_cast<float>(intervals));
    };
    const auto times = bounded(
        std::max(0.0f, baseline.timeEvidence(report.suspectTimes)) + baseline.pendingEvidence(report.pendingTimes),
        report.suspectTimeIntervals);
    const auto& outcomes = report.suspectOutcomes;
    const auto failures = bounded(static_cast<float>(outcomes.failures()) * baseline.failureEvidence()
            + static_cast<float>(outcomes.of(Outcome::Success)) * baseline.successEvidence(),
        report.suspectOutcomeIntervals);
    Verdict verdict;
    verdict.decision = Decision::Observe;
    verdict.cause = failures > times ? causeOfFailures(outcomes) : Cause::Slow;
    verdict.evidence = std::max(times, failures) + (report.isSelfReportedSick ? m_options.selfReportedSickness : 0);
    return verdict;
}

// The peers that follow the target in the order of names, so that the work stays bounded in a very large service.
auto GrayDetector::freshReference(Targets::const_iterator target, bool isWithSuspects, MonotonicTime now) const
    -> Reference
{
    Reference reference;
    auto peer = target;
    for (std::size_t i = 0; i < std::min(peersLookedAt, m_targets.size()); ++i) {
        if (++peer == m_targets.end())
            peer = m_targets.begin();
        if (peer == target)
            break;
        const auto& observed = peer->second;
        if (observed.isEjected || observed.last.isCold || now - observed.receivedAt > m_options.freshness)
            continue;
        if (!isWithSuspects && isSuspicious(observed, now))
            continue;
        const auto& times = observed.last.presentTimes();
        const auto& outcomes = observed.last.presentOutcomes();
        const auto factor = times.total() > timesPerPeer ? timesPerPeer / times.total() : 1.0f;
        reference.times.addScaled(times, factor);
        reference.failures += factor * static_cast<float>(outcomes.failures());
        reference.requests += factor * static_cast<float>(outcomes.judged());
    }
    return reference;
}

auto GrayDetector::lastingReference() const -> Reference
{
    Reference reference;
    std::size_t looked = 0;
    for (const auto& [name, observed] : m_targets) {
        if (observed.isEjected)
            continue;
        const auto total = observed.lastingTimes.total();
        const auto factor = total > timesPerPeer ? timesPerPeer / total : 1.0f;
        reference.times.addScaled(observed.lastingTimes, factor);
        reference.failures += factor * observed.lastingFailures;
        reference.requests += factor * observed.lastingRequests;
        if (++looked == peersLookedAt)
            break;
    }
    return reference;
}

auto GrayDetector::isSuspicious(const Observed& observed, MonotonicTime now) const -> bool
{
    return observed.last.isSuspicious && !observed.isEjected
        && now - observed.suspiciousAt <= m_options.suspicionMemory;
}

auto GrayDetector::census(MonotonicTime now) const -> Census
{
    Census census;
    for (const auto& [name, observed] : m_targets) {
        census.heardOf += now - observed.receivedAt <= m_options.reportMemory ? 1 : 0;
        census.suspicious += isSuspicious(observed, now) ? 1 : 0;
    }
    return census;
}

auto GrayDetector::peersToPoll(MonotonicTime now) -> std::vector<std::string>
{
    const auto isAnySuspicious
        = std::ranges::any_of(m_targets, [this, now](const auto& entry) { return isSuspicious(entry.second, now); });
    std::vector<std::string> peers;
    if (!isAnySuspicious)
        return peers;
    const auto isDue = [this, now](MonotonicTime at) { return now - at > m_options.freshness / 2; };
    for (auto& [name, observed] : m_targets) {
        if (peers.size() == m_options.peersAsked)
            break;
        if (observed.isEjected || observed.last.isCold || !isDue(observed.receivedAt) || !isDue(observed.askedAt))
            continue;
        observed.askedAt = now;
        peers.push_back(name);
    }
    return peers;
}

auto GrayDetector::baseline() const -> std::optional<Baseline>
{
    const auto reference = lastingReference();
    return Baseline::of(reference.times, reference.failures, reference.requests);
}

auto GrayDetector::isHeardOf(std::string_view target, MonotonicTime now) const -> bool
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && now - found->second.receivedAt <= m_options.reportMemory;
}

auto GrayDetector::setEjected(std::string_view target, bool isEjected, MonotonicTime now) -> void
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || found->second.isEjected == isEjected)
        return;
    found->second.isEjected = isEjected;
    found->second.confirmations = 0;
    if (!isEjected)
        found->second.watchedUntil = now + recurrenceWatch;
}

auto GrayDetector::removeTarget(std::string_view target) -> void
{
    if (const auto found = m_targets.find(target); found != m_targets.end())
        m_targets.erase(found);
}

} // namespace coriandergate::health
