#include "daemon/MemberDirectory.h"

#include "member/PeerTable.h"

namespace coriandergate::daemon {

MemberDirectory::MemberDirectory(
    std::shared_ptr<const member::PeerTable> peers, Locality here, std::vector<std::string> named)
    : m_peers(std::move(peers))
    , m_here(std::move(here))
    , m_named(std::move(named))
{
}

auto MemberDirectory::peers() const -> std::vector<config::KeeperPeer>
{
    const auto snapshot = m_peers->current();
    std::vector<config::KeeperPeer> live;
    for (const auto& peer : snapshot->peers) {
        if (peer.state <= member::MemberState::Suspect)
            live.push_back({ peer.identity.address, peer.locality == m_here });
    }
    for (const auto& address : m_named) {
        if (snapshot->find(address) == nullptr)
            live.push_back({ address, true });
    }
    return live;
}

} // namespace coriandergate::daemon
