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
    return { .service = m_service,
        .distanceFactor = m_context.responseSizes.distanceFactor(m_admitted.route->name),
        .homes = &homes,
        .evacuations = &m_context.evacuations };
}

auto TargetChoice::choose(const dispatch::TargetSearch& search, bool isFirstAttempt, MonotonicTime now) const
    -> LoadBalancer::TargetPointer
{
    const auto homes = this->homes();
    auto criteria = this->criteria(homes);
    criteria.mayProbe = isFirstAttempt && m_admitted.isIdempotent() && m_admitted.route->maximumAttempts > 1
        && m_context.retryBudget.canAcquire(m_service, m_context.callsPerRequest[m_service],
            dispatch::RetryBudget::RetryClass::Probe, m_context.hostCount, now);
    criteria.excluded = search.excluded();
    criteria.rejecting = search.rejecting();
    return m_context.loadBalancer.choose(criteria, now, m_context.random());
}

auto TargetChoice::chooseSecond(const dispatch::TargetSearch& search, const std::string& firstAddress,
    MonotonicTime now) const -> LoadBalancer::TargetPointer
{
    const auto homes = this->homes();
    auto criteria = this->criteria(homes);
    std::vector<std::string> tried(search.excluded().begin(), search.excluded().end());
    tried.push_back(firstAddress);
    criteria.excluded = tried;
    criteria.rejecting = search.rejecting();
    auto target = m_context.loadBalancer.choose(criteria, now, m_context.random());
    if (!target || target->isFailing || m_context.loadBalancer.estimatedUtilization(*target, 0, now) >= 1)
        return nullptr;
    return target;
}

auto TargetChoice::hasBudgetForSecond(MonotonicTime now) const -> bool
{
    return m_context.hedging.canAcquire(m_service, meanUtilization(now))
        && m_context.retryBudget.canAcquire(m_service, m_context.callsPerRequest[m_service],
            dispatch::RetryBudget::RetryClass::Probe, m_context.hostCount, now);
}

auto TargetChoice::chargeSecond(MonotonicTime now) const -> bool
{
    return hasBudgetForSecond(now)
        && m_context.retryBudget.tryAcquire(m_service, m_context.callsPerRequest[m_service],
            dispatch::RetryBudget::RetryClass::Probe, m_context.hostCount, now)
        && m_context.hedging.tryAcquire(m_service, meanUtilization(now));
}

auto TargetChoice::meanUtilization(MonotonicTime now) const -> double
{
    const auto homes = this->homes();
    return m_context.loadBalancer.meanUtilization(criteria(homes), now);
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
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    return overloadRetryAfter(
        m_context, m_admitted.route->targetLatency, meanUtilization(now), spread(m_context.random));
}

} // namespace coriandergate::relay
