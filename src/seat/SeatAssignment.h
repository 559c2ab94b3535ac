// The holder and the grantors of one seat (a hash partition of the key space, see SeatMap.h).
//
// The grantors lease the seat to its holder. A lease needs a majority of them, and a takeover needs promises from a
// majority, so that two daemons never hold a seat at once. The grantors are also the successors, in their order.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/FormerEpoch.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace coriandergate::seat {

// SeatAssignment is the entry of one seat in a SeatMap. `epoch` is the map's epoch at which this assignment last
// changed: a seat that a new map leaves unchanged keeps its epoch and its lease.
struct SeatAssignment {
    std::uint64_t epoch = 0;
    DaemonIdentity holder;
    std::vector<DaemonIdentity> grantors;
    std::vector<FormerEpoch> formerEpochs; // not yet known to be closed

    // rankOf() is the rank of `daemon` in the order of succession, or nothing for a daemon that has none.
    [[nodiscard]] auto rankOf(const DaemonIdentity& daemon) const -> std::optional<std::uint32_t>;

    // candidate() is the daemon with rank `rank`, or null.
    [[nodiscard]] auto candidate(std::uint32_t rank) const -> const DaemonIdentity*;

    friend auto operator==(const SeatAssignment&, const SeatAssignment&) -> bool = default;
};

// majorityOf() is the smallest number of `grantorCount` grantors such that any two groups of that size overlap.
[[nodiscard]] constexpr auto majorityOf(std::size_t grantorCount) -> std::size_t { return grantorCount / 2 + 1; }

} // namespace coriandergate::seat
