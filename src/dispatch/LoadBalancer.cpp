#include "dispatch/LoadBalancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace coriandergate::dispatch {

namespace {

    // A random part of the cost, in units of utilization, breaks ties between targets of about equal cost.
    constexpr double tieBreakWeight = 0.06;
    // Cost of a target that must not be chosen.
    constexpr double unusableCost = std::numeric_limits<double>::infinity();
    // A failing target that is due for a probe is preferred, so that it can recover.
    constexpr double probeBonus = 0.35;
    // For a request that doesn't prefer the targets of a returning data centre; it uses them where all others have a
    // request and a half per slot more.
    constexpr double returnPenalty = 1.5;

    auto contains(std::span<const std::string> texts, const std::string& text) -> bool
    {
        return std::find(texts.begin(), texts.end(), text) != texts.end();
    }

    // An empty name is one that isn't known.
    auto isKnownAs(const std::string& left, const std::string& right) -> bool { return !left.empty() && left == right; }

    // The first round of the 64-bit finalizer of MurmurHash3.
    auto mixBits(std::uint64_t value) -> std::uint64_t
    {
        value ^= value >> 33;
        value *= 0xff51afd7ed558ccdULL;
        value ^= value >> 33;
        return value;
    }

    // A number from 0 to 1 for each `value`, in no recognizable order.
    auto spreadOut(std::uint64_t value) -> double
    {
        return static_cast<double>(mixBits(value) >> 40) / static_cast<double>(1ULL << 24);
    }

} // namespace

LoadBalancer::LoadBalancer(const Options& options)
    : m_options(options)
{
}

auto LoadBalancer::setTargets(const std::vector<Description>& descriptions, MonotonicTime now) -> void
{
    std::map<std::string, TargetPointer, std::less<>> byAddress;
    m_byService.clear();
    for (const auto& description : descriptions) {
        const auto known = m_byAddress.find(description.address);
        const bool isSame = known != m_byAddress.end() && known->second->description.service == description.service;
        auto target = isSame ? known->second : std::make_shared<Target>();
        if (!isSame)
            target->load.slots = description.slots;
        // Before the first list nothing tells which targets are new.
        const bool isSameIncarnation = isSame && target->description.targetId == description.targetId
            && target->description.targetStartedAt == description.targetStartedAt;
        const auto coldService = m_coldServices.find(description.service);
        if (!m_byAddress.empty() && !isSameIncarnation && coldService != m_coldServices.end()) {
            target->assumedColdUntil = now + coldService->second.coldTime;
            target->arrivals.reset();
        }
        target->description = description;
        byAddress[description.address] = target;
        m_byService[description.service].push_back(std::move(target));
    }
    m_byAddress = std::move(byAddress);
}

auto LoadBalancer::isEligible(const Description& target, const Criteria& criteria) -> bool
{
    const bool isEvacuated = criteria.evacuations && criteria.evacuations->isEvacuated(target.locality.dataCentre);
    return !isEvacuated && (!criteria.homes || criteria.homes->allows(target.locality.region));
}

auto LoadBalancer::earliestUse(const Criteria& criteria) const -> std::optional<MonotonicTime>
{
    std::optional<MonotonicTime> earliest;
    for (const auto& target : eligibleTargets(criteria)) {
        if (!target->description.isDraining)
            earliest = std::min(earliest.value_or(target->unavailableUntil), target->unavailableUntil);
    }
    return earliest;
}

auto LoadBalancer::meanUtilization(const Criteria& criteria, MonotonicTime now) const -> double
{
    const auto found = m_byService.find(criteria.service);
    if (found == m_byService.end())
        return 0;
    double sum = 0;
    std::size_t count = 0;
    for (const auto& target : found->second) {
        if (target->loadReportedAt == MonotonicTime {} || now > target->loadReportedAt + 2 * m_options.loadHalfLife)
            continue;
        if (!isEligible(target->description, criteria))
            continue;
        const auto slots = static_cast<double>(std::max<std::size_t>(1, target->load.slots));
        sum += static_cast<double>(target->load.running + target->load.waiting) / slots;
        ++count;
    }
    return count == 0 ? 0 : sum / static_cast<double>(count);
}

auto LoadBalancer::estimatedUtilization(const Target& target, double meanUtilization, MonotonicTime now) const -> double
{
    const auto slots = static_cast<double>(std::max<std::size_t>(1, target.load.slots));
    const std::chrono::duration<double> age = now - target.loadReportedAt;
    const std::chrono::duration<double> halfLife = m_options.loadHalfLife;
    const double reportWeight = std::exp2(-age / halfLife);
    const auto reported = static_cast<double>(target.load.running + target.load.waiting);
    const double estimate = reported * reportWeight + meanUtilization * slots * (1 - reportWeight);
    const auto startedSinceReport = static_cast<double>(target.startedSinceReport);
    return std::max(estimate + startedSinceReport, static_cast<double>(target.inFlight)) / slots;
}

// Requests that the report counts leave the sliding second as the report ages. Those that this daemon has sent since
// may have ended already, but still count.
auto LoadBalancer::arrivalUtilization(const Target& target, MonotonicTime now) const -> double
{
    if (!target.arrivals)
        return 0;
    const std::chrono::duration<double> age = now - target.loadReportedAt;
    const auto used = static_cast<double>(target.arrivals->used) * std::clamp(1 - age.count(), 0.0, 1.0);
    return (used + static_cast<double>(target.startedSinceReport))
        / static_cast<double>(std::max<std::size_t>(1, target.arrivals->limit));
}

auto LoadBalancer::cost(const Target& target, const Criteria& criteria, double meanUtilization, bool isPanicMode,
    MonotonicTime now) const -> double
{
    if (target.description.isDraining || now < target.unavailableUntil)
        return unusableCost;
    const bool isFailing = isKnownToFail(target, now);
    const bool isProbe = isFailing && now >= target.nextProbeAt && criteria.mayProbe;
    if (isFailing && !isProbe && !isPanicMode)
        return unusableCost;
    double utilization = estimatedUtilization(target, meanUtilization, now);
    const auto coldService = m_coldServices.find(criteria.service);
    if (now < target.assumedColdUntil && coldService != m_coldServices.end())
        utilization /= coldService->second.fraction;
    const double arrivals = arrivalUtilization(target, now);
    double cost = std::max(utilization, arrivals) + m_options.rejectionPenalty * target.rejectionRate;
    if (arrivals >= 1)
        cost += m_options.exhaustedPenalty;
    const auto& locality = target.description.locality;
    if (locality.region != m_options.ownLocality.region)
        cost += m_options.otherRegionPenalty * criteria.distanceFactor;
    else if (locality.dataCentre != m_options.ownLocality.dataCentre)
        cost += m_options.otherDataCentrePenalty * criteria.distanceFactor;
    if (isProbe)
        return cost - probeBonus;
    return isFailing ? cost + m_options.failingPenalty : cost;
}

auto LoadBalancer::isKnownToFail(const Target& target, MonotonicTime now) const -> bool
{
    return target.isFailing && now < target.nextProbeAt + m_options.failureExpiry;
}

auto LoadBalancer::isInPanicMode(const Criteria& criteria, MonotonicTime now) const -> bool
{
    const auto found = m_byService.find(criteria.service);
    if (found == m_byService.end())
        return false;
    std::size_t eligible = 0;
    std::size_t failing = 0;
    for (const auto& target : found->second) {
        if (!isEligible(target->description, criteria))
            continue;
        ++eligible;
        failing += isKnownToFail(*target, now) ? 1 : 0;
    }
    return static_cast<double>(failing) > m_options.panicThreshold * static_cast<double>(eligible);
}

auto LoadBalancer::isExcluded(
    const Description& target, std::span<const std::string> addresses, std::span<const Description> rejecting) -> bool
{
    return contains(addresses, target.address)
        || std::any_of(rejecting.begin(), rejecting.end(), [&target](const Description& other) {
               return target.address == other.address || isKnownAs(target.targetId, other.targetId)
                   || isKnownAs(target.hostKey, other.hostKey);
           });
}

auto LoadBalancer::choose(const Criteria& criteria, MonotonicTime now, std::uint64_t random) const -> TargetPointer
{
    const auto found = m_byService.find(criteria.service);
    if (found == m_byService.end())
        return nullptr;
    const bool isPanicMode = isInPanicMode(criteria, now);
    const double mean = meanUtilization(criteria, now);
    TargetPointer best;
    double lowestCost = unusableCost;
    std::uint64_t index = 0;
    const bool isAnyReturning = criteria.evacuations && criteria.evacuations->concernChoice(now);
    const double preference = spreadOut(~random); // the same for all targets
    for (const auto& target : found->second) {
        ++index;
        if (!isEligible(target->description, criteria)
            || isExcluded(target->description, criteria.excluded, criteria.rejecting))
            continue;
        const bool isHeldBack = isAnyReturning
            && preference >= criteria.evacuations->returnShare(target->description.locality.dataCentre, now);
        const double targetCost = cost(*target, criteria, mean, isPanicMode, now)
            + tieBreakWeight * spreadOut(random + index) + (isHeldBack ? returnPenalty : 0);
        if (targetCost < lowestCost) {
            lowestCost = targetCost;
            best = target;
        }
    }
    return best;
}

auto LoadBalancer::beginRequest(Target& target) -> void
{
    ++target.inFlight;
    ++target.startedSinceReport;
}

auto LoadBalancer::endRequest(Target& target) -> void
{
    if (target.inFlight > 0)
        --target.inFlight;
    if (target.startedSinceReport > 0)
        --target.startedSinceReport;
}

auto LoadBalancer::recordLoad(Target& target, const TargetLoad& load, double rejectionRate, MonotonicTime now) -> void
{
    target.rejectionRate = rejectionRate;
    target.load = load;
    target.loadReportedAt = now;
    target.startedSinceReport = 0;
    target.assumedColdUntil = {};
}

auto LoadBalancer::recordArrivals(Target& target, const std::optional<TargetArrivals>& arrivals) -> void
{
    target.arrivals = arrivals;
}

auto LoadBalancer::recordFailing(Target& target, std::chrono::milliseconds nextProbeIn, MonotonicTime now) -> void
{
    target.isFailing = true;
    target.nextProbeAt = now + nextProbeIn;
}

auto LoadBalancer::recordHealthy(Target& target) -> void { target.isFailing = false; }

auto LoadBalancer::recordPathFailure(Target& target, MonotonicTime now) -> void
{
    if (!target.unreachableSince)
        target.unreachableSince = now;
    target.pathBackoff = target.pathBackoff.count() == 0
        ? m_options.firstPathBackoff
        : std::min(target.pathBackoff * 2, m_options.maximumPathBackoff);
    target.unavailableUntil = std::max(target.unavailableUntil, now + target.pathBackoff);
}

auto LoadBalancer::recordPathSuccess(Target& target) -> void
{
    target.pathBackoff = std::chrono::milliseconds { 0 };
    target.unreachableSince.reset();
}

auto LoadBalancer::isUnreachableFor(std::string_view address, std::chrono::milliseconds length, MonotonicTime now) const
    -> bool
{
    const auto found = m_byAddress.find(address);
    if (found == m_byAddress.end())
        return false;
    const auto& target = *found->second;
    // A failure long ago without a later attempt is no evidence.
    const bool wasTriedRecently = now < target.unavailableUntil + m_options.maximumPathBackoff;
    return target.unreachableSince && now - *target.unreachableSince >= length && wasTriedRecently;
}

auto LoadBalancer::markUnavailable(Target& target, MonotonicTime until) -> void
{
    target.unavailableUntil = std::max(target.unavailableUntil, until);
}

auto LoadBalancer::targets(std::string_view service) const -> std::vector<TargetPointer>
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? std::vector<TargetPointer> {} : found->second;
}

auto LoadBalancer::eligibleTargets(const Criteria& criteria) const -> std::vector<TargetPointer>
{
    auto eligible = targets(criteria.service);
    std::erase_if(eligible, [&](const TargetPointer& target) { return !isEligible(target->description, criteria); });
    return eligible;
}

} // namespace coriandergate::dispatch
