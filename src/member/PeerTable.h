// Publishes the current view of the other daemons to the rest of this daemon.
//
//   auto peers = kernel.find<member::PeerTable>();
//   for (const auto& peer : peers->current()->peers)
//       if (peer.state == MemberState::Alive) ...
#pragma once

#include "base/Clock.h"
#include "base/Mutex.h"
#include "member/PeerSnapshot.h"

#include <functional>
#include <memory>
#include <vector>

namespace coriandergate::member {

class GossipNode;

// makeSnapshot() builds a snapshot of the members that `node` knows at `now`. Members without a profile are left out.
[[nodiscard]] auto makeSnapshot(const GossipNode& node, MonotonicTime now) -> std::shared_ptr<const PeerSnapshot>;

// PeerTable is thread-safe.
class PeerTable {
public:
    using Observer = std::function<void(const PeerSnapshot&)>;

    PeerTable();

    // current() returns the latest published snapshot; never null.
    [[nodiscard]] auto current() const -> std::shared_ptr<const PeerSnapshot>;

    // publish() replaces the snapshot and calls the observers on the calling thread, which is the daemon's main thread.
    auto publish(std::shared_ptr<const PeerSnapshot> snapshot) -> void;

    // observe() registers a callback that publish() invokes with each snapshot, on its thread.
    auto observe(Observer observer) -> void;

    // advertiseVersions() announces to the fleet the newest configuration version and seat epoch of this daemon. Values
    // below those advertised before are ignored. The member plugin hands them to gossip.
    auto advertiseVersions(std::uint64_t configurationVersion, std::uint64_t seatEpoch) -> void;

    // advertisedConfigurationVersion() and advertisedSeatEpoch() return the highest values passed to
    // advertiseVersions().
    [[nodiscard]] auto advertisedConfigurationVersion() const -> std::uint64_t;
    [[nodiscard]] auto advertisedSeatEpoch() const -> std::uint64_t;

    // addPeers() adds addresses to contact, such as those in the store. takeAddedPeers() removes and returns the
    // addresses added since its last call; the member plugin hands them to gossip.
    auto addPeers(const std::vector<std::string>& addresses) -> void;
    [[nodiscard]] auto takeAddedPeers() -> std::vector<std::string>;

private:
    mutable Mutex m_mutex;
    std::shared_ptr<const PeerSnapshot> m_current GUARDED_BY(m_mutex);
    std::vector<Observer> m_observers GUARDED_BY(m_mutex);
    std::vector<std::string> m_addedPeers GUARDED_BY(m_mutex);
    std::uint64_t m_advertisedConfigurationVersion GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_advertisedSeatEpoch GUARDED_BY(m_mutex) = 0;
};

} // namespace coriandergate::member
