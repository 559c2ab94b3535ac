// Where every part of the daemon looks up the other daemons.
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

// makeSnapshot() is what `node` knows at `now`.
[[nodiscard]] auto makeSnapshot(const GossipNode& node, MonotonicTime now) -> std::shared_ptr<const PeerSnapshot>;

// PeerTable is safe from any thread.
class PeerTable {
public:
    using Observer = std::function<void(const PeerSnapshot&)>;

    PeerTable();

    // current() is the newest snapshot, never null.
    [[nodiscard]] auto current() const -> std::shared_ptr<const PeerSnapshot>;

    // publish() replaces the snapshot and calls the observers on the calling thread.
    auto publish(std::shared_ptr<const PeerSnapshot> snapshot) -> void;

    // observe() adds a function that is called with each snapshot, on the main thread.
    auto observe(Observer observer) -> void;

    // advertiseVersions() tells the fleet of the newest configuration version and seat epoch that this daemon has. The
    // members' plug-in passes them on; lower ones than before are ignored.
    auto advertiseVersions(std::uint64_t configurationVersion, std::uint64_t seatEpoch) -> void;

    // advertisedConfigurationVersion() and advertisedSeatEpoch() are the greatest that advertiseVersions() was given.
    [[nodiscard]] auto advertisedConfigurationVersion() const -> std::uint64_t;
    [[nodiscard]] auto advertisedSeatEpoch() const -> std::uint64_t;

    // addPeers() gives addresses to start from, such as those in the store; takeAddedPeers() is those given since the
    // last call, for the members' plug-in.
    auto addPeers(const std::vector<std::string>& addresses) -> void;
    [[nodiscard]] auto takeAddedPeers() -> std::vector<std::string>;

private:
    mutable Mutex m_mutex;
    std::shared_ptr<const PeerSnapshot> m_current GUARDED_BY(m_mutex);
    std::vector<Observer> m_observers GUARDED_BY(m_mutex);
    std::vector<std::string> m_addedPeers GUARDED_BY(m_mutex);
    std::uint64_t m_configurationVersion GUARDED_BY(m_mutex) = 0;
    std::uint64_t m_seatEpoch GUARDED_BY(m_mutex) = 0;
};

} // namespace coriandergate::member
