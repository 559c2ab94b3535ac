#include "control/MemberPeers.h"

#include "member/PeerTable.h"

#include <utility>

namespace coriandergate::control {

MemberPeers::MemberPeers(std::shared_ptr<const member::PeerTable> table, std::string dataCentre)
    : m_table(std::move(table))
    , m_dataCentre(std::move(dataCentre))
{
}

auto MemberPeers::peers() const -> std::vector<config::KeeperPeer>
{
    std::vector<config::KeeperPeer> living;
    for (const auto& peer : m_table->current()->peers) {
        if (peer.state == member::MemberState::Alive || peer.state == member::MemberState::Suspect)
            living.push_back({ peer.identity.address, peer.locality.dataCentre == m_dataCentre });
    }
    return living;
}

auto MemberPeers::lostPeers() const -> std::vector<std::string>
{
    std::vector<std::string> lost;
    for (const auto& peer : m_table->current()->peers) {
        if (peer.state == member::MemberState::Dead)
            lost.push_back(peer.identity.address);
    }
    return lost;
}

} // namespace coriandergate::control
