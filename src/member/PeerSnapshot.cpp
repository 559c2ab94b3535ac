#include "member/PeerSnapshot.h"

#include <algorithm>

namespace coriandergate::member {

auto PeerSnapshot::targetsOf(std::string_view service) const -> std::span<const TargetLocation>
{
    const auto found = targets.find(service);
    if (found == targets.end())
        return {};
    return found->second;
}

auto PeerSnapshot::find(std::string_view address) const -> const Peer*
{
    const auto found = std::lower_bound(peers.begin(), peers.end(), address,
        [](const Peer& peer, std::string_view wanted) { return peer.identity.address < wanted; });
    return found != peers.end() && found->identity.address == address ? &*found : nullptr;
}

} // namespace coriandergate::member
