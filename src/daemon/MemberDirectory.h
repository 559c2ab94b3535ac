// The live daemons that gossip knows, for whoever spreads configurations, with those that the settings name beside
// them.
//
//   kernel.provide<config::PeerDirectory>(std::make_shared<MemberDirectory>(peers, locality, named));
#pragma once

#include "base/Locality.h"
#include "config/PeerDirectory.h"

#include <memory>
#include <string>
#include <vector>

namespace coriandergate::member {
class PeerTable;
}

namespace coriandergate::daemon {

// MemberDirectory is safe from any thread.
class MemberDirectory : public config::PeerDirectory {
public:
    // MemberDirectory() lists the addresses `named` too, as of the own data centre, unless gossip knows better.
    MemberDirectory(std::shared_ptr<const member::PeerTable> peers, Locality here, std::vector<std::string> named);

    [[nodiscard]] auto peers() const -> std::vector<config::KeeperPeer> override;

private:
    const std::shared_ptr<const member::PeerTable> m_peers;
    const Locality m_here;
    const std::vector<std::string> m_named;
};

} // namespace coriandergate::daemon
