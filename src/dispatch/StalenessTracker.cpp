#include "dispatch/StalenessTracker.h"

#include <algorithm>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

auto StalenessTracker::recordClock(SuspendAwareTime sentAt, SuspendAwareTime receivedAt, milliseconds storeTime) -> void
{
    // The clock of a store that was set up again starts over, so earlier offsets no longer apply.
    if (storeTime < m_lastStoreTime) {
        m_offsetLowerBound.reset();
        m_offsetUpperBound.reset();
    }
    m_lastStoreTime = storeTime;
    const nanoseconds lowerBound = sentAt.time_since_epoch() - storeTime;
    const nanoseconds upperBound = receivedAt.time_since_epoch() - storeTime;
    m_offsetLowerBound = std::max(m_offsetLowerBound.value_or(lowerBound), lowerBound);
    m_offsetUpperBound = std::min(m_offsetUpperBound.value_or(upperBound), upperBound);
    // Clock drift can leave no offset that fits all responses; only the latest response counts then.
    if (*m_offsetLowerBound > *m_offsetUpperBound) {
        m_offsetLowerBound = lowerBound;
        m_offsetUpperBound = upperBound;
    }
}

auto StalenessTracker::recordResponse(SuspendAwareTime sentAt, SuspendAwareTime receivedAt, milliseconds storeTime)
    -> void
{
    recordClock(sentAt, receivedAt, storeTime);
    const SuspendAwareTime respondedAt(std::max(sentAt.time_since_epoch(), storeTime + *m_offsetLowerBound));
    const auto freshAsOf = std::min(respondedAt, receivedAt);
    m_freshAsOf = std::max(m_freshAsOf.value_or(freshAsOf), freshAsOf);
}

auto StalenessTracker::recordRelayed(milliseconds storeTime) -> void
{
    if (!m_offsetLowerBound)
        return;
    const SuspendAwareTime respondedAt(storeTime + *m_offsetLowerBound);
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
    if (!m_offsetUpperBound)
        return std::nullopt;
    return std::chrono::floor<milliseconds>(now.time_since_epoch() - *m_offsetUpperBound);
}

} // namespace coriandergate::dispatch
