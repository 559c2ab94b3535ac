#include "dispatch/StalenessTracker.h"

#include <algorithm>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

namespace {

    // The store states its clock in whole milliseconds, rounded down.
    constexpr milliseconds storeClockResolution { 1 };
    // Two quartz clocks drift apart by at most 200 millionths of the time that passes.
    constexpr int driftDivisor = 5000;

} // namespace

auto StalenessTracker::recordClock(SuspendAwareTime sentAt, SuspendAwareTime receivedAt, milliseconds storeTime) -> void
{
    const ClockOffset measured { .lower = sentAt.time_since_epoch() - storeTime - storeClockResolution,
        .upper = receivedAt.time_since_epoch() - storeTime,
        .at = receivedAt };
    if (!m_offset) {
        m_offset = measured;
        return;
    }
    const auto known = offsetAt(receivedAt);
    const ClockOffset both {
        .lower = std::max(known.lower, measured.lower), .upper = std::min(known.upper, measured.upper), .at = known.at
    };
    // The clock of a store that was set up again starts over, so earlier offsets no longer apply.
    m_offset = both.lower <= both.upper ? both : measured;
}

// The clocks may have drifted apart since the offset was measured.
auto StalenessTracker::offsetAt(SuspendAwareTime now) const -> ClockOffset
{
    const auto drift = std::max(nanoseconds { 0 }, (now - m_offset->at) / driftDivisor);
    return { .lower = m_offset->lower - drift, .upper = m_offset->upper + drift, .at = std::max(now, m_offset->at) };
}

auto StalenessTracker::recordResponse(SuspendAwareTime sentAt, SuspendAwareTime receivedAt, milliseconds storeTime)
    -> void
{
    recordClock(sentAt, receivedAt, storeTime);
    const SuspendAwareTime respondedAt(std::max(sentAt.time_since_epoch(), storeTime + m_offset->lower));
    const auto freshAsOf = std::min(respondedAt, receivedAt);
    m_freshAsOf = std::max(m_freshAsOf.value_or(freshAsOf), freshAsOf);
}

auto StalenessTracker::recordRelayed(SuspendAwareTime receivedAt, milliseconds storeTime) -> void
{
    if (!m_offset)
        return;
    const SuspendAwareTime respondedAt(storeTime + offsetAt(receivedAt).lower);
    m_freshAsOf = std::max(m_freshAsOf.value_or(respondedAt), respondedAt);
}

auto StalenessTracker::age(SuspendAwareTime now) const -> std::optional<milliseconds>
{
    if (!m_freshAsOf)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(now - *m_freshAsOf);
}

auto StalenessTracker::isFresh(SuspendAwareTime now) const -> bool
{
    const auto currentAge = age(now);
    return currentAge && *currentAge <= m_options.maximumAge;
}

auto StalenessTracker::storeTime(SuspendAwareTime now) const -> std::optional<milliseconds>
{
    if (!m_offset)
        return std::nullopt;
    return std::chrono::floor<milliseconds>(now.time_since_epoch() - offsetAt(now).upper);
}

auto StalenessTracker::latestStoreTime(SuspendAwareTime now) const -> std::optional<milliseconds>
{
    if (!m_offset)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(now.time_since_epoch() - offsetAt(now).lower);
}

} // namespace coriandergate::dispatch
