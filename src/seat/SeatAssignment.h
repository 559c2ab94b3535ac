// Who holds one seat and who guards it.
//
// The guards lease the seat to its holder; a majority of them is needed for a lease, and a majority of promises for a
// takeover, so that two daemons never hold a seat at once. The guards are also the successors, in their order.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/FormerEpoch.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace coriandergate::seat {

// SeatAssignment is one seat's part of a SeatMap. `epoch` is the map's epoch at which this assignment was written: a
// seat that a new map leaves alone keeps its epoch, and its holder notices nothing.
struct SeatAssignment {
    std::uint64_t epoch = 0;
    DaemonIdentity holder;
    std::vector<DaemonIdentity> grantors;
    std::vector<FormerEpoch> formerEpochs;

    // rankOf() is the rank of `daemon` in the succession, or nothing for a daemon that has none.
    [[nodiscard]] auto rankOf(const DaemonIdentity& daemon) const -> std::optional<std::uint32_t>;

    // candidate() is the daemon of rank `rank`, or null.
    [[nodiscard]] auto candidate(std::uint32_t rank) const -> const DaemonIdentity*;

    friend auto operator==(const SeatAssignment&, const SeatAssignment&) -> bool = default;
};

// majorityOf() is the least number of `guards` guards of which any two groups share one.
[[nodiscard]] constexpr auto majorityOf(std::size_t guards) -> std::size_t { return guards / 2 + 1; }

} // namespace coriandergate::seat
