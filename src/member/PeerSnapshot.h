// An immutable snapshot of all other daemons and their targets.
//
//   const auto snapshot = table.current();
//   for (const auto& target : snapshot->targetsOf("ledger"))
//       candidates.push_back(target);
#pragma once

#include "member/Peer.h"
#include "member/TargetLocation.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::member {

// PeerSnapshot is shared by its readers and does not change after publication.
struct PeerSnapshot {
    std::uint64_t version = 0;
    std::uint64_t configurationVersion = 0; // newest that any daemon is known to have
    std::uint64_t seatEpoch = 0; // newest seat map epoch that any daemon is known to have
    bool isIsolated = false; // this daemon receives no gossip, see GossipNode::isIsolated()
    std::vector<Peer> peers; // sorted by address, dead ones included
    // By service. Only targets of alive and suspect daemons: leaving daemons get no new requests.
    std::map<std::string, std::vector<TargetLocation>, std::less<>> targets;

    // targetsOf() returns the targets of `service` behind other daemons, grouped by owner in order of its address.
    [[nodiscard]] auto targetsOf(std::string_view service) const -> std::span<const TargetLocation>;

    // find() returns the peer at `address`, or null.
    [[nodiscard]] auto find(std::string_view address) const -> const Peer*;
};

} // namespace coriandergate::member
