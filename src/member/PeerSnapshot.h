// All other daemons and the targets behind them at one moment.
//
//   const auto snapshot = table.current();
//   for (const auto& target : snapshot->targetsOf("ledger"))
//       consider(target);
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

// PeerSnapshot never changes once published; readers share it.
struct PeerSnapshot {
    std::uint64_t version = 0;
    std::uint64_t configurationVersion = 0; // newest that any daemon is known to have
    std::uint64_t seatEpoch = 0; // newest that any daemon is known to have
    bool isIsolated = false; // this daemon hears nobody
    std::vector<Peer> peers; // sorted by address, the dead included
    // Of the daemons that are alive or suspect; a leaving daemon gets nothing new.
    std::map<std::string, std::vector<TargetLocation>, std::less<>> targets;

    // targetsOf() is the targets of `service` behind other daemons, by owner and address.
    [[nodiscard]] auto targetsOf(std::string_view service) const -> std::span<const TargetLocation>;

    // find() is the peer with that address, or null.
    [[nodiscard]] auto find(std::string_view address) const -> const Peer*;
};

} // namespace coriandergate::member
