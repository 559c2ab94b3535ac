#include "health/EjectionPermits.h"

#include "base/Error.h"

#include <cmath>

namespace coriandergate::health {

namespace {
    constexpr auto step = "grant ejection permit";

    // Protects the comparison of whole slots with a fraction of them from rounding.
    constexpr auto roundingSlack = 1e-9;
}

EjectionPermits::EjectionPermits(const Options& options, MonotonicTime seatHeldSince)
    : m_options(options)
    , m_seatHeldSince(seatHeldSince)
{
}

auto EjectionPermits::updateTarget(const std::string& target, const Capacity& capacity) -> void
{
    m_targets[target] = capacity;
}

auto EjectionPermits::removeTarget(std::string_view target) -> void { m_targets.erase(std::string(target)); }

auto EjectionPermits::request(const std::string& target, MonotonicTime seatHeldUntil, MonotonicTime now, Error& reason)
    -> std::optional<std::chrono::milliseconds>
{
    forgetExpired(now);
    if (now >= seatHeldUntil) {
        reason = { step, target, "this daemon no longer holds the seat of the service" };
        return std::nullopt;
    }
    if (now < m_seatHeldSince + m_options.duration + m_options.clockMargin) {
        reason = { step, target, "permits of the seat's former holder may still be in use" };
        return std::nullopt;
    }
    if (!m_targets.contains(target)) {
        reason = { step, target, "the target is not announced" };
        return std::nullopt;
    }
    const auto floorSlots = std::ceil(m_options.healthyFloor * announcedSlots() - roundingSlack);
    if (slotsLeftWithout(target, now) < floorSlots) {
        if (const auto held = m_permits.find(target); held != m_permits.end())
            held->second.isLapsing = true;
        reason = { step, target, "healthy capacity would fall below the floor" };
        return std::nullopt;
    }
    m_permits[target] = { now + m_options.duration + m_options.clockMargin, false };
    return m_options.duration;
}

auto EjectionPermits::isHeld(std::string_view target, MonotonicTime now) const -> bool
{
    return permitOf(target, now) != nullptr;
}

auto EjectionPermits::announcedSlots() const -> int
{
    auto slots = 0;
    for (const auto& [name, capacity] : m_targets)
        slots += capacity.slots;
    return slots;
}

auto EjectionPermits::healthySlots(MonotonicTime now) const -> int
{
    auto slots = 0;
    for (const auto& [name, capacity] : m_targets)
        slots += capacity.isServing && !isHeld(name, now) ? capacity.slots : 0;
    return slots;
}

auto EjectionPermits::permitOf(std::string_view target, MonotonicTime now) const -> const Permit*
{
    const auto found = m_permits.find(std::string(target));
    return found != m_permits.end() && now < found->second.countsUntil ? &found->second : nullptr;
}

// A renewal may count on the capacity that other lapsing permits give back; a new permit may not.
auto EjectionPermits::slotsLeftWithout(const std::string& target, MonotonicTime now) const -> int
{
    const auto isRenewal = isHeld(target, now);
    auto slots = 0;
    for (const auto& [name, capacity] : m_targets) {
        const auto* const permit = permitOf(name, now);
        const auto isLeft = permit == nullptr || (isRenewal && permit->isLapsing);
        slots += capacity.isServing && isLeft && name != target ? capacity.slots : 0;
    }
    return slots;
}

auto EjectionPermits::forgetExpired(MonotonicTime now) -> void
{
    std::erase_if(m_permits, [now](const auto& entry) { return now >= entry.second.countsUntil; });
}

} // namespace coriandergate::health
