// Where the live peers of a daemon are found.
//
//   for (const auto& peer : directory.peers())
//       ask(peer.address);
#pragma once

#include "config/KeeperPeer.h"

#include <string>
#include <vector>

namespace coriandergate::config {

// PeerDirectory is what membership provides to whoever spreads something. Safe from any thread.
class PeerDirectory {
public:
    PeerDirectory() = default;
    PeerDirectory(const PeerDirectory&) = delete;
    auto operator=(const PeerDirectory&) -> PeerDirectory& = delete;
    virtual ~PeerDirectory() = default;

    // peers() is every other daemon that is believed to live.
    [[nodiscard]] virtual auto peers() const -> std::vector<KeeperPeer> = 0;

    // lostPeers() is the address of every daemon that is believed to be dead, or out of reach, and not forgotten yet.
    [[nodiscard]] virtual auto lostPeers() const -> std::vector<std::string> = 0;
};

} // namespace coriandergate::config
