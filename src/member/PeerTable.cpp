#include "member/PeerTable.h"

#include "member/GossipNode.h"
#include "member/MemberProfile.h"

#include <algorithm>
#include <utility>

namespace coriandergate::member {

namespace {

    auto addTargets(PeerSnapshot& snapshot, const Peer& peer) -> void
    {
        for (const auto& target : peer.profile->targets)
            snapshot.targets[target.service].push_back({ target.address, target.slots, peer.identity, peer.locality });
    }

}

auto makeSnapshot(const GossipNode& node, MonotonicTime now) -> std::shared_ptr<const PeerSnapshot>
{
    auto snapshot = std::make_shared<PeerSnapshot>();
    snapshot->version = node.version();
    snapshot->configurationVersion = node.configurationVersion();
    snapshot->seatEpoch = node.seatEpoch();
    snapshot->isIsolated = node.isIsolated(now);
    for (const auto& member : node.members()) {
        const auto& record = member.record;
        if (record.profile)
            snapshot->peers.push_back({ { record.address, record.profile->incarnation }, record.profile->locality,
                record.state, member.stateChangedAt, record.profile });
    }
    std::sort(snapshot->peers.begin(), snapshot->peers.end(),
        [](const Peer& left, const Peer& right) { return left.identity.address < right.identity.address; });
    for (const auto& peer : snapshot->peers) {
        if (peer.state <= MemberState::Suspect)
            addTargets(*snapshot, peer);
    }
    return snapshot;
}

PeerTable::PeerTable()
    : m_current(std::make_shared<PeerSnapshot>())
{
}

auto PeerTable::current() const -> std::shared_ptr<const PeerSnapshot>
{
    const MutexLock lock(m_mutex);
    return m_current;
}

auto PeerTable::publish(std::shared_ptr<const PeerSnapshot> snapshot) -> void
{
    std::vector<Observer> observers;
    {
        const MutexLock lock(m_mutex);
        m_current = snapshot;
        observers = m_observers;
    }
    for (const auto& observer : observers)
        observer(*snapshot);
}

auto PeerTable::observe(Observer observer) -> void
{
    const MutexLock lock(m_mutex);
    m_observers.push_back(std::move(observer));
}

auto PeerTable::advertiseVersions(std::uint64_t configurationVersion, std::uint64_t seatEpoch) -> void
{
    const MutexLock lock(m_mutex);
    m_advertisedConfigurationVersion = std::max(m_advertisedConfigurationVersion, configurationVersion);
    m_advertisedSeatEpoch = std::max(m_advertisedSeatEpoch, seatEpoch);
}

auto PeerTable::advertisedConfigurationVersion() const -> std::uint64_t
{
    const MutexLock lock(m_mutex);
    return m_advertisedConfigurationVersion;
}

auto PeerTable::advertisedSeatEpoch() const -> std::uint64_t
{
    const MutexLock lock(m_mutex);
    return m_advertisedSeatEpoch;
}

auto PeerTable::addPeers(const std::vector<std::string>& addresses) -> void
{
    const MutexLock lock(m_mutex);
    m_addedPeers.insert(m_addedPeers.end(), addresses.begin(), addresses.end());
}

auto PeerTable::takeAddedPeers() -> std::vector<std::string>
{
    const MutexLock lock(m_mutex);
    return std::exchange(m_addedPeers, {});
}

} // namespace coriandergate::member
