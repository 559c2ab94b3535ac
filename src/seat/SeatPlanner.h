// Plans the next seat map from the current one and the live daemons.
//
//   const auto next = planSeatMap({ current, liveDaemons, leasedEpochs, terminatedDaemons }, options);
//   if (next)
//       store.write(row, rowVersion, encodeSeatMap(*next)); // fails if the row has changed since it was read
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/LiveDaemon.h"
#include "seat/SeatMap.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace coriandergate::seat {

// SeatPlannerInput is what planSeatMap() plans from.
struct SeatPlannerInput {
    SeatMap current;
    std::vector<LiveDaemon> liveDaemons;
    // By seat: the epoch in which the holder or a successor is known to have a lease, so that former epochs are closed.
    std::map<std::uint32_t, std::uint64_t> leasedEpochs;
    std::set<DaemonIdentity> terminatedDaemons; // processes that an operator or the platform reports as ended
};

// SeatPlannerOptions sizes a new map. The number of seats of an existing map never changes.
struct SeatPlannerOptions {
    std::size_t seatCount = 64;
    std::size_t grantorsPerSeat = 3;
};

// planSeatMap() returns the next map, or nothing if the current one needs no change or no daemon is available. It
// replaces only holders and grantors that are not live or are leaving, makes the first live grantor the new holder, and
// spreads a seat's grantors over the data centres of the holder's region where it can. The same input always gives the
// same map. A pure function.
[[nodiscard]] auto planSeatMap(const SeatPlannerInput& input, const SeatPlannerOptions& options)
    -> std::optional<SeatMap>;

} // namespace coriandergate::seat
