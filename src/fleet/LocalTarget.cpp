#include "fleet/LocalTarget.h"

#include "base/Error.h"

#include <algorithm>
#include <limits>

namespace coriandergate::fleet {

namespace {

    // Stands for the start time of any incarnation of a target, also in the row that the host's daemon writes.
    constexpr auto anyStart = std::numeric_limits<std::uint64_t>::max();

} // namespace

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
    if (hasDeregistered(heartbeat))
        accepted.isDraining = true;
    else if (m_deregistered && heartbeat.startedAt < m_deregistered->startedAt)
        return HeartbeatResult::Stale;
    if (m_current) {
        const bool isSame = m_current->startedAt == heartbeat.startedAt && m_current->id == heartbeat.id;
        if (heartbeat.startedAt < m_current->startedAt)
            return HeartbeatResult::Stale;
        if (isSame && heartbeat.sequence <= m_current->sequence) {
            // An incarnation that has started draining never serves again, so this holds in any order.
            if (!accepted.isDraining || m_current->isDraining)
                return HeartbeatResult::Stale;
            m_current->isDraining = true;
            return HeartbeatResult::Changed;
        }
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

auto LocalTarget::hasDeregistered(const Heartbeat& heartbeat) const -> bool
{
    return m_deregisteredId == heartbeat.id
        || (m_deregistered && m_deregistered->id == heartbeat.id && heartbeat.startedAt <= m_deregistered->startedAt);
}

auto LocalTarget::recordDeregistered(Incarnation incarnation) -> void
{
    if (!m_deregistered || m_deregistered->startedAt <= incarnation.startedAt)
        m_deregistered = std::move(incarnation);
}

auto LocalTarget::deregister(const std::string& id, std::uint64_t startedAt) -> DeregistrationResult
{
    if (!m_current)
        return deregisterBeforeHeartbeat(id, startedAt);
    const bool isCurrentId = m_current->id == id;
    if (startedAt == 0 && !isCurrentId)
        return DeregistrationResult::UnknownOrder;
    const auto knownStart = startedAt == 0 ? m_current->startedAt : startedAt;
    if (knownStart < m_current->startedAt)
        return DeregistrationResult::OtherTarget;
    if (!isCurrentId || knownStart > m_current->startedAt) {
        // The target has replaced the current one, and its own heartbeats are late.
        m_current->id = id;
        m_current->startedAt = knownStart;
        m_current->sequence = 0;
        m_current->coldRemaining.reset();
    }
    m_current->isDraining = true;
    recordDeregistered({ id, knownStart });
    return DeregistrationResult::CurrentTarget;
}

// A daemon that has just started may receive the deregistration before any heartbeat. A heartbeat sent earlier that
// arrives later must not revert it.
auto LocalTarget::deregisterBeforeHeartbeat(const std::string& id, std::uint64_t startedAt) -> DeregistrationResult
{
    const bool isStoredTarget = m_storedTarget && m_storedTarget->id == id;
    if (startedAt == 0 && m_storedTarget && !isStoredTarget)
        return DeregistrationResult::UnknownOrder;
    if (startedAt != 0)
        recordDeregistered({ id, startedAt });
    else if (isStoredTarget)
        recordDeregistered({ id, m_storedTarget->startedAt });
    else
        m_deregisteredId = id;
    const bool isEarlierTarget = startedAt != 0 && m_storedTarget && startedAt < m_storedTarget->startedAt;
    return isEarlierTarget ? DeregistrationResult::OtherTarget : DeregistrationResult::NoHeartbeatYet;
}

auto LocalTarget::restoreFromStore(const std::string& id, std::uint64_t startedAt, bool isDraining) -> void
{
    if (id.empty())
        return;
    if (startedAt == anyStart) {
        m_storedTarget = Incarnation { id, 0 };
        m_deregisteredId = id;
        return;
    }
    m_storedTarget = Incarnation { id, startedAt };
    const bool hasDeregisteredUntimed = m_deregisteredId == id;
    if (hasDeregisteredUntimed)
        m_deregisteredId.reset();
    if (hasDeregisteredUntimed || isDraining)
        recordDeregistered({ id, startedAt });
    if (isDraining && m_current && m_current->id == id && m_current->startedAt == startedAt)
        m_current->isDraining = true;
}

auto LocalTarget::deregistered() const -> std::optional<Incarnation>
{
    if (m_deregisteredId)
        return Incarnation { *m_deregisteredId, anyStart };
    return m_deregistered;
}

} // namespace coriandergate::fleet
