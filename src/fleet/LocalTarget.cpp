#include "fleet/LocalTarget.h"

#include "base/Error.h"

#include <algorithm>
#include <limits>

namespace coriandergate::fleet {

auto LocalTarget::receive(const Heartbeat& heartbeat, Error& reason) -> HeartbeatResult
{
    const auto reject = [&](const char* why) -> HeartbeatResult {
        reason = { "receive heartbeat", heartbeat.id, why };
        return HeartbeatResult::Rejected;
    };
    if (heartbeat.service != m_service)
        return reject("the service differs from this host's service");
    if (heartbeat.address != m_address)
        return reject("the address differs from the address of this host's target");
    auto accepted = heartbeat;
    const bool isDeregisteredId = m_deregistered && m_deregistered->id == heartbeat.id;
    const bool isStartTimeUnknown
        = m_deregistered && m_deregistered->startedAt == std::numeric_limits<std::uint64_t>::max();
    if (isDeregisteredId && heartbeat.startedAt <= m_deregistered->startedAt)
        accepted.isDraining = true;
    else if (m_deregistered && !isStartTimeUnknown && heartbeat.startedAt < m_deregistered->startedAt)
        return HeartbeatResult::Stale;
    if (m_current) {
        const bool isSame = m_current->startedAt == heartbeat.startedAt && m_current->id == heartbeat.id;
        if (heartbeat.startedAt < m_current->startedAt || (isSame && heartbeat.sequence <= m_current->sequence))
            return HeartbeatResult::Stale;
        // An incarnation that has started draining never serves again.
        if (isSame)
            accepted.isDraining = accepted.isDraining || m_current->isDraining;
        const bool isUnchanged
            = isSame && m_current->isDraining == accepted.isDraining && m_current->slots == accepted.slots;
        m_current = accepted;
        return isUnchanged ? HeartbeatResult::Unchanged : HeartbeatResult::Changed;
    }
    m_current = accepted;
    return HeartbeatResult::Changed;
}

auto LocalTarget::deregister(const std::string& id, std::uint64_t startedAt) -> DeregistrationResult
{
    if (m_current) {
        if (m_current->id != id || (startedAt != 0 && startedAt < m_current->startedAt))
            return DeregistrationResult::OtherTarget;
        m_deregistered = Incarnation { id, std::max(startedAt, m_current->startedAt) };
        m_current->isDraining = true;
        return DeregistrationResult::CurrentTarget;
    }
    // A daemon that has just started may receive the deregistration before any heartbeat. A heartbeat sent earlier that
    // arrives later must not revert it.
    const bool isStoredTarget = m_storedTarget && m_storedTarget->id == id;
    if (startedAt != 0)
        m_deregistered = Incarnation { id, startedAt };
    else if (isStoredTarget)
        m_deregistered = Incarnation { id, m_storedTarget->startedAt };
    else
        m_deregistered = Incarnation { id, std::numeric_limits<std::uint64_t>::max() };
    const bool isEarlierTarget = m_storedTarget && !isStoredTarget && startedAt < m_storedTarget->startedAt;
    return isEarlierTarget ? DeregistrationResult::OtherTarget : DeregistrationResult::NoHeartbeatYet;
}

auto LocalTarget::restoreFromStore(const std::string& id, std::uint64_t startedAt, bool isDraining) -> void
{
    if (id.empty())
        return;
    m_storedTarget = Incarnation { id, startedAt };
    // A deregistration received before the row was loaded may lack the start time.
    const bool hasDeregistered = m_deregistered && m_deregistered->id == id;
    if (hasDeregistered || (isDraining && (!m_deregistered || m_deregistered->startedAt < startedAt)))
        m_deregistered = Incarnation { id, startedAt };
    if (isDraining && m_current && m_current->id == id && m_current->startedAt == startedAt)
        m_current->isDraining = true;
}

} // namespace coriandergate::fleet
