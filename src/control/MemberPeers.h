// The peers of a daemon, as membership knows them.
//
//   const auto directory = std::make_shared<MemberPeers>(kernel.find<member::PeerTable>(), "rajkot-1");
#pragma once

#include "config/PeerDirectory.h"

#include <memory>
#include <string>
#include <vector>

namespace coriandergate::member {
class PeerTable;
}

namespace coriandergate::control {

// MemberPeers is safe from any thread.
class MemberPeers : public config::PeerDirectory {
public:
    // `dataCentre` is this daemon's own.
    MemberPeers(std::shared_ptr<const member::PeerTable> table, std::string dataCentre);

    [[nodiscard]] auto peers() const -> std::vector<config::KeeperPeer> override;
    [[nodiscard]] auto lostPeers() const -> std::vector<std::string> override;

private:
    const std::shared_ptr<const member::PeerTable> m_table;
    const std::string m_dataCentre;
};

} // namespace coriandergate::control
