#include "dispatch/StalenessTracker.h"

#include <algorithm>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

auto StalenessTracker::recordResponse(SuspendAwareTime sentAt, SuspendAwareTime receivedAt, milliseconds storeTime)
    -> void
{
    // A store that was set up anew has a clock of its own.
    if (storeTime < m_lastStoreTime) {
        m_latestOffset.reset();
        m_offsetCeiling.reset();
    }
    m_lastStoreTime = storeTime;
    const nanoseconds least = sentAt.time_since_epoch() - storeTime;
    const nanoseconds most = receivedAt.time_since_epoch() - storeTime;
    m_latestOffset = std::max(m_latestOffset.value_or(least), least);
    m_offsetCeiling = std::min(m_offsetCeiling.value_or(most), most);
    // Clocks that drift apart leave no offset that all answers allow; the newest answer alone counts then.
    if (*m_latestOffset > *m_offsetCeiling) {
        m_latestOffset = least;
        m_offsetCeiling = most;
    }
    const SuspendAwareTime dated(std::max(sentAt.time_since_epoch(), storeTime + *m_latestOffset));
    const auto provenAt = std::min(dated, receivedAt);
    m_provenAt = std::max(m_provenAt.value_or(provenAt), provenAt);
}

auto StalenessTracker::recordRelayed(milliseconds storeTime) -> void
{
    if (!m_latestOffset)
        return;
    const SuspendAwareTime dated(storeTime + *m_latestOffset);
    m_provenAt = std::max(m_provenAt.value_or(dated), dated);
}

auto StalenessTracker::age(SuspendAwareTime now) const -> std::optional<milliseconds>
{
    if (!m_provenAt)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(now - *m_provenAt);
}

auto StalenessTracker::isFresh(SuspendAwareTime now) const -> bool
{
    const auto current = age(now);
    return current && *current <= m_options.maximumAge;
}

auto StalenessTracker::storeTime(SuspendAwareTime now) const -> std::optional<milliseconds>
{
    if (!m_offsetCeiling)
        return std::nullopt;
    return std::chrono::floor<milliseconds>(now.time_since_epoch() - *m_offsetCeiling);
}

} // namespace coriandergate::dispatch
