#include "health/EjectionLeaseManager.h"

#include "base/Error.h"

#include <cmath>

namespace coriandergate::health {

namespace {
    constexpr auto errorStep = "grant ejection lease";

    // Keeps rounding errors of healthyFloor * slots from raising the minimum by one slot.
    constexpr auto roundingToleranceSlots = 1e-9;
}

EjectionLeaseManager::EjectionLeaseManager(const Options& options, MonotonicTime leaderSince)
    : m_options(options)
    , m_leaderSince(leaderSince)
{
}

auto EjectionLeaseManager::updateTarget(const std::string& target, const Capacity& capacity) -> void
{
    m_targets[target] = capacity;
}

auto EjectionLeaseManager::removeTarget(std::string_view target) -> void { m_targets.erase(std::string(target)); }

auto EjectionLeaseManager::request(const std::string& target, MonotonicTime leadershipUntil, MonotonicTime now,
    Error& reason) -> std::optional<std::chrono::milliseconds>
{
    eraseExpired(now);
    if (now >= leadershipUntil) {
        reason = { errorStep, target, "this daemon is no longer the leader of the service" };
        return std::nullopt;
    }
    if (now < m_leaderSince + m_options.duration + m_options.clockMargin) {
        reason = { errorStep, target, "leases granted by a previous leader may still be valid" };
        return std::nullopt;
    }
    if (!m_targets.contains(target)) {
        reason = { errorStep, target, "the target is not announced" };
        return std::nullopt;
    }
    const auto minHealthySlots = std::ceil(m_options.healthyFloor * announcedSlots() - roundingToleranceSlots);
    if (servingSlotsWithout(target, now) < minHealthySlots) {
        if (const auto held = m_leases.find(target); held != m_leases.end())
            held->second.isRenewalRefused = true;
        reason = { errorStep, target, "healthy capacity would fall below the floor" };
        return std::nullopt;
    }
    m_leases[target] = { now + m_options.duration + m_options.clockMargin, false };
    return m_options.duration;
}

auto EjectionLeaseManager::isHeld(std::string_view target, MonotonicTime now) const -> bool
{
    return findLease(target, now) != nullptr;
}

auto EjectionLeaseManager::announcedSlots() const -> int
{
    auto slots = 0;
    for (const auto& [name, capacity] : m_targets)
        slots += capacity.slots;
    return slots;
}

auto EjectionLeaseManager::healthySlots(MonotonicTime now) const -> int
{
    auto slots = 0;
    for (const auto& [name, capacity] : m_targets)
        slots += capacity.isServing && !isHeld(name, now) ? capacity.slots : 0;
    return slots;
}

auto EjectionLeaseManager::findLease(std::string_view target, MonotonicTime now) const -> const Lease*
{
    const auto found = m_leases.find(std::string(target));
    return found != m_leases.end() && now < found->second.expiresAt ? &found->second : nullptr;
}

// A renewal may count on the capacity of targets whose lease was refused renewal; a new lease may not.
auto EjectionLeaseManager::servingSlotsWithout(const std::string& target, MonotonicTime now) const -> int
{
    const auto isRenewal = isHeld(target, now);
    auto slots = 0;
    for (const auto& [name, capacity] : m_targets) {
        const auto* const lease = findLease(name, now);
        const auto isInService = lease == nullptr || (isRenewal && lease->isRenewalRefused);
        slots += capacity.isServing && isInService && name != target ? capacity.slots : 0;
    }
    return slots;
}

auto EjectionLeaseManager::eraseExpired(MonotonicTime now) -> void
{
    std::erase_if(m_leases, [now](const auto& entry) { return now >= entry.second.expiresAt; });
}

} // namespace coriandergate::health
