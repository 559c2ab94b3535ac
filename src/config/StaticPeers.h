// Peers that are named once and for all, for a few daemons without membership.
//
//   const StaticPeers peers({ { "10.0.0.8:7101", true } });
#pragma once

#include "config/PeerDirectory.h"

#include <utility>
#include <vector>

namespace coriandergate::config {

// StaticPeers never changes.
class StaticPeers : public PeerDirectory {
public:
    explicit StaticPeers(std::vector<KeeperPeer> peers)
        : m_peers(std::move(peers))
    {
    }

    [[nodiscard]] auto peers() const -> std::vector<KeeperPeer> override { return m_peers; }

private:
    const std::vector<KeeperPeer> m_peers;
};

} // namespace coriandergate::config
