#include "fleet/LocalTarget.h"

#include "base/Error.h"

#include <algorithm>
#include <limits>

namespace coriandergate::fleet {

auto LocalTarget::receive(const Heartbeat& heartbeat, Error& reason) -> HeartbeatResult
{
    const auto refuse = [&](const char* why) -> HeartbeatResult {
        reason = { "receive heartbeat", heartbeat.id, why };
        return HeartbeatResult::Foreign;
    };
    if (heartbeat.service != m_service)
        return refuse("the service isn't that of this host");
    if (heartbeat.address != m_address)
        return refuse("the address isn't that of this host's target");
    auto taken = heartbeat;
    const bool isOfLeftId = m_left && m_left->id == heartbeat.id;
    const bool isAnyIncarnation = m_left && m_left->startedAt == std::numeric_limits<std::uint64_t>::max();
    if (isOfLeftId && heartbeat.startedAt <= m_left->startedAt)
        taken.isDraining = true;
    else if (m_left && !isAnyIncarnation && heartbeat.startedAt < m_left->startedAt)
        return HeartbeatResult::Stale;
    if (m_current) {
        const bool isSame = m_current->startedAt == heartbeat.startedAt && m_current->id == heartbeat.id;
        if (heartbeat.startedAt < m_current->startedAt || (isSame && heartbeat.sequence <= m_current->sequence))
            return HeartbeatResult::Stale;
        // Leaving is never taken back within an incarnation.
        if (isSame)
            taken.isDraining = taken.isDraining || m_current->isDraining;
        const bool isUnchanged = isSame && m_current->isDraining == taken.isDraining && m_current->slots == taken.slots;
        m_current = taken;
        return isUnchanged ? HeartbeatResult::Unchanged : HeartbeatResult::Changed;
    }
    m_current = taken;
    return HeartbeatResult::Changed;
}

auto LocalTarget::leave(const std::string& id, std::uint64_t startedAt) -> Departure
{
    if (m_current) {
        if (m_current->id != id || (startedAt != 0 && startedAt < m_current->startedAt))
            return Departure::Other;
        m_left = Left { id, std::max(startedAt, m_current->startedAt) };
        m_current->isDraining = true;
        return Departure::Current;
    }
    // A daemon that was just started may hear the farewell before any heartbeat; a late one must not undo it.
    const bool isRecalled = m_recalled && m_recalled->id == id;
    if (startedAt != 0)
        m_left = Left { id, startedAt };
    else if (isRecalled)
        m_left = Left { id, m_recalled->startedAt };
    else
        m_left = Left { id, std::numeric_limits<std::uint64_t>::max() };
    const bool isEarlier = m_recalled && !isRecalled && startedAt < m_recalled->startedAt;
    return isEarlier ? Departure::Other : Departure::NotSeen;
}

auto LocalTarget::recall(const std::string& id, std::uint64_t startedAt, bool isDraining) -> void
{
    if (id.empty())
        return;
    m_recalled = Left { id, startedAt };
    const bool saidFarewell = m_left && m_left->id == id; // before anything was known of its start
    if (saidFarewell || (isDraining && (!m_left || m_left->startedAt < startedAt)))
        m_left = Left { id, startedAt };
    if (isDraining && m_current && m_current->id == id && m_current->startedAt == startedAt)
        m_current->isDraining = true;
}

} // namespace coriandergate::fleet
