// Plans the next seat map from the present one and the daemons that live.
//
//   const auto next = planSeatMap(current, statements, options);
//   if (next)
//       table.write(row, encodeSeatMap(*next), /* on condition that the epoch is still */ current.epoch);
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

// SeatPlannerInput is what a plan rests on.
struct SeatPlannerInput {
    SeatMap current;
    std::vector<LiveDaemon> liveDaemons;
    std::map<std::uint32_t, std::uint64_t>
        leasedEpochs; // seats that their map's holder or a successor holds, with the epoch
    std::set<DaemonIdentity> terminatedDaemons; // runs that an operator or the platform says have ended
};

// SeatPlannerOptions sizes a new map; the number of seats of an existing one never changes.
struct SeatPlannerOptions {
    std::size_t seatCount = 64;
    std::size_t grantorsPerSeat = 3;
};

// planSeatMap() returns the next map, or nothing when the present one needs no change or nobody lives. It moves only
// seats and guard duties whose daemon is gone or leaving, lets the first live guard succeed, and spreads a seat's
// guards over the data centres of its holder's region where it can. The same input gives the same map. A pure function.
[[nodiscard]] auto planSeatMap(const SeatPlannerInput& input, const SeatPlannerOptions& options)
    -> std::optional<SeatMap>;

} // namespace coriandergate::seat
