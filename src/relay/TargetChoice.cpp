#include "relay/TargetChoice.h"

#include "dispatch/TargetSearch.h"
#include "http/Status.h"
#include "relay/CallerResponse.h"
#include "relay/EntryContext.h"
#include "relay/RequestAdmission.h"

#include <algorithm>
#include <random>

namespace coriandergate::relay {

using dispatch::LoadBalancer;
using std::chrono::milliseconds;

auto TargetChoice::homes() const -> dispatch::HomeRegions { return m_admitted.homes(m_context.snapshot); }

auto TargetChoice::criteria(const dispatch::HomeRegions& homes) const -> LoadBalancer::Criteria
{
    return { .service = m_service, .homes = &homes, .evacuations = &m_context.evacuations };
}

auto TargetChoice::choose(const dispatch::TargetSearch& search, bool isFirstAttempt, MonotonicTime now) const
    -> LoadBalancer::TargetPointer
{
    const auto homes = this->homes();
    auto criteria = this->criteria(homes);
    criteria.mayProbe = isFirstAttempt && m_admitted.isIdempotent() && m_admitted.route->maximumAttempts > 1
        && m_context.retryBudget.canAcquire(m_service, m_context.callsPerRequest[m_service],
            dispatch::RetryBudget::RetryClass::Probe, m_context.hostCount, now);
    criteria.distanceFactor = m_context.responseSizes.distanceFactor(m_admitted.route->name);
    criteria.excluded = search.excluded();
    criteria.excludedIds = search.excludedIds();
    return m_context.loadBalancer.choose(criteria, now, m_context.random());
}

auto TargetChoice::admits(const LoadBalancer::Description& target) const -> bool
{
    const auto homes = this->homes();
    return LoadBalancer::isEligible(target, criteria(homes));
}

auto TargetChoice::refusal(milliseconds latencyLeft, MonotonicTime now) const -> std::optional<RequestRefusal>
{
    const auto homes = this->homes();
    if (homes.isAnywhere() && !m_context.evacuations.oldestAge(now))
        return std::nullopt;
    auto criteria = this->criteria(homes);
    const auto usableFrom = m_context.loadBalancer.earliestUse(criteria);
    const bool isUsableInTime = usableFrom && *usableFrom <= now + std::max(latencyLeft, milliseconds { 0 });
    if (isUsableInTime || (homes.isAnywhere() && usableFrom))
        return std::nullopt;
    const auto retryAfter
        = usableFrom ? std::chrono::ceil<milliseconds>(*usableFrom - now) : m_context.options.maximumRetryAfter;
    criteria.evacuations = nullptr;
    const bool isForEvacuation = !usableFrom && m_context.loadBalancer.earliestUse(criteria);
    // A service without any target waits for one, as it does while nothing is evacuated.
    if (homes.isAnywhere() && !isForEvacuation)
        return std::nullopt;
    return RequestRefusal { http::statusUnavailable, isForEvacuation ? evacuatedReason : noHomeTargetReason,
        retryAfter };
}

auto TargetChoice::targets() const -> std::vector<LoadBalancer::TargetPointer>
{
    const auto homes = this->homes();
    return m_context.loadBalancer.eligibleTargets(criteria(homes));
}

auto TargetChoice::isInPanicMode(MonotonicTime now) const -> bool
{
    const auto homes = this->homes();
    return m_context.loadBalancer.isInPanicMode(criteria(homes), now);
}

auto TargetChoice::retryAfterOverload(MonotonicTime now) const -> milliseconds
{
    const auto homes = this->homes();
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    return overloadRetryAfter(m_context, m_admitted.route->targetLatency,
        m_context.loadBalancer.meanUtilization(criteria(homes), now), spread(m_context.random));
}

} // namespace coriandergate::relay
