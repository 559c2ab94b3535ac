#include "dispatch/LoadBalancer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace coriandergate::dispatch {

namespace {

    // Targets of equal cost are told apart by chance, within this part of a full target.
    constexpr double chanceWeight = 0.06;
    // A target that can't be taken now is still better than none once everything else was tried.
    constexpr double unusable = std::numeric_limits<double>::infinity();
    // A failing target whose trial is due goes before others for a repeatable request, so that it can come back.
    constexpr double trialAdvantage = 0.35;

    auto mix(std::uint64_t value) -> std::uint64_t
    {
        value ^= value >> 33;
        value *= 0xff51afd7ed558ccdULL;
        value ^= value >> 33;
        return value;
    }

} // namespace

LoadBalancer::LoadBalancer(const Options& options)
    : m_options(options)
{
}

auto LoadBalancer::setTargets(const std::vector<Description>& descriptions) -> void
{
    std::map<std::string, TargetPointer, std::less<>> byAddress;
    m_byService.clear();
    for (const auto& description : descriptions) {
        const auto known = m_byAddress.find(description.address);
        const bool isSame = known != m_byAddress.end() && known->second->description.service == description.service;
        auto target = isSame ? known->second : std::make_shared<Target>();
        if (!isSame)
            target->load.slots = description.slots;
        target->description = description;
        byAddress[description.address] = target;
        m_byService[description.service].push_back(std::move(target));
    }
    m_byAddress = std::move(byAddress);
}

auto LoadBalancer::meanUtilization(std::string_view service, MonotonicTime now) const -> double
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return 0;
    double sum = 0;
    std::size_t count = 0;
    for (const auto& target : found->second) {
        if (target->loadToldAt == MonotonicTime {} || now > target->loadToldAt + 2 * m_options.loadMemory)
            continue;
        const auto slots = static_cast<double>(std::max<std::size_t>(1, target->load.slots));
        sum += static_cast<double>(target->load.running + target->load.waiting) / slots;
        ++count;
    }
    return count == 0 ? 0 : sum / static_cast<double>(count);
}

auto LoadBalancer::estimatedUtilization(const Target& target, double typicalFill, MonotonicTime now) const -> double
{
    const auto slots = static_cast<double>(std::max<std::size_t>(1, target.load.slots));
    const std::chrono::duration<double> age = now - target.loadToldAt;
    const std::chrono::duration<double> memory = m_options.loadMemory;
    const double remembered = std::exp2(-age / memory);
    const auto told = static_cast<double>(target.load.running + target.load.waiting);
    const double others = told * remembered + typicalFill * slots * (1 - remembered);
    const auto own = static_cast<double>(target.startedSince);
    return std::max(others + own, static_cast<double>(target.underWay)) / slots;
}

auto LoadBalancer::cost(
    const Target& target, const Need& need, double typicalFill, bool takesFailing, MonotonicTime now) const -> double
{
    if (target.description.isLeaving || now < target.avoidUntil)
        return unusable;
    const bool isFailing = isKnownToFail(target, now);
    const bool isTrial = isFailing && now >= target.trialAt && need.mayProbe;
    if (isFailing && !isTrial && !takesFailing)
        return unusable;
    double cost = estimatedUtilization(target, typicalFill, now) + m_options.refusedWeight * target.refusedShare;
    const auto& locality = target.description.locality;
    if (locality.region != m_options.ownLocality.region)
        cost += m_options.otherRegionWeight * need.distanceFactor;
    else if (locality.dataCentre != m_options.ownLocality.dataCentre)
        cost += m_options.otherDataCentreWeight * need.distanceFactor;
    if (isTrial)
        return cost - trialAdvantage;
    return isFailing ? cost + m_options.failingWeight : cost;
}

auto LoadBalancer::isKnownToFail(const Target& target, MonotonicTime now) const -> bool
{
    return target.isFailing && now < target.trialAt + m_options.failingMemory;
}

auto LoadBalancer::isInPanicMode(std::string_view service, MonotonicTime now) const -> bool
{
    const auto found = m_byService.find(service);
    if (found == m_byService.end())
        return false;
    const auto failing = std::count_if(found->second.begin(), found->second.end(),
        [this, now](const TargetPointer& target) { return isKnownToFail(*target, now); });
    return static_cast<double>(failing) > m_options.mostShare * static_cast<double>(found->second.size());
}

auto LoadBalancer::choose(const Need& need, MonotonicTime now, std::uint64_t random) const -> TargetPointer
{
    const auto found = m_byService.find(need.service);
    if (found == m_byService.end())
        return nullptr;
    const bool takesFailing = isInPanicMode(need.service, now);
    const double typical = meanUtilization(need.service, now);
    TargetPointer best;
    double least = unusable;
    std::uint64_t index = 0;
    for (const auto& target : found->second) {
        ++index;
        if (std::find(need.excluded.begin(), need.excluded.end(), target->description.address) != need.excluded.end())
            continue;
        const auto chance = static_cast<double>(mix(random + index) >> 40) / static_cast<double>(1ULL << 24);
        const double total = cost(*target, need, typical, takesFailing, now) + chanceWeight * chance;
        if (total < least) {
            least = total;
            best = target;
        }
    }
    return best;
}

auto LoadBalancer::beginRequest(Target& target) -> void
{
    ++target.underWay;
    ++target.startedSince;
}

auto LoadBalancer::endRequest(Target& target) -> void
{
    if (target.underWay > 0)
        --target.underWay;
    if (target.startedSince > 0)
        --target.startedSince;
}

auto LoadBalancer::recordLoad(Target& target, const TargetLoad& load, double refusedShare, MonotonicTime now) -> void
{
    target.refusedShare = refusedShare;
    target.load = load;
    target.loadToldAt = now;
    target.startedSince = 0;
}

auto LoadBalancer::recordFailing(Target& target, std::chrono::milliseconds trialIn, MonotonicTime now) -> void
{
    target.isFailing = true;
    target.trialAt = now + trialIn;
}

auto LoadBalancer::recordHealthy(Target& target) -> void { target.isFailing = false; }

auto LoadBalancer::recordPathFailure(Target& target, MonotonicTime now) -> void
{
    if (!target.unreachedSince)
        target.unreachedSince = now;
    target.pathBackoff = target.pathBackoff.count() == 0
        ? m_options.firstPathBackoff
        : std::min(target.pathBackoff * 2, m_options.longestPathBackoff);
    target.avoidUntil = std::max(target.avoidUntil, now + target.pathBackoff);
}

auto LoadBalancer::recordPathSuccess(Target& target) -> void
{
    target.pathBackoff = std::chrono::milliseconds { 0 };
    target.unreachedSince.reset();
}

auto LoadBalancer::isUnreachableFor(std::string_view address, std::chrono::milliseconds length, MonotonicTime now) const
    -> bool
{
    const auto found = m_byAddress.find(address);
    if (found == m_byAddress.end())
        return false;
    const auto& target = *found->second;
    // One failure long ago, without another try since, says little.
    const bool isTriedLately = now < target.avoidUntil + m_options.longestPathBackoff;
    return target.unreachedSince && now - *target.unreachedSince >= length && isTriedLately;
}

auto LoadBalancer::markUnavailable(Target& target, MonotonicTime until) -> void
{
    target.avoidUntil = std::max(target.avoidUntil, until);
}

auto LoadBalancer::targets(std::string_view service) const -> std::vector<TargetPointer>
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? std::vector<TargetPointer> {} : found->second;
}

} // namespace coriandergate::dispatch
