// The seat map assigns every seat to a daemon. A seat is one hash partition of the key space.
//
// Keys are hashed to a fixed number of seats: client accounts by SeatMap::seatOf(), idempotency keys by once::seatOf().
// The map is one row in the store. A write succeeds only if the row has not changed since it was read, so that when two
// daemons plan a new map at once, one of them wins.
//
//   Error reason;
//   const auto map = decodeSeatMap(row, reason);
//   const auto seat = map->seatOf("account-7");
//   const auto& holder = map->seats[seat].holder;
#pragma once

#include "base/Error.h"
#include "seat/SeatAssignment.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::seat {

// SeatMap is a value. Epoch 0 without seats means that there is no map yet.
struct SeatMap {
    std::uint64_t epoch = 0;
    std::vector<SeatAssignment> seats;

    // seatOf() is the index of the seat of `key`. A key that is divided over several seats has one seat for each
    // `splitIndex` from 0 to maximumSeatsPerKey - 1; these seats are evenly spaced in the map. The map must have seats.
    // Safe from any thread.
    [[nodiscard]] auto seatOf(std::string_view key, std::uint32_t splitIndex = 0) const -> std::uint32_t;

    friend auto operator==(const SeatMap&, const SeatMap&) -> bool = default;
};

// maximumSeatsPerKey is the largest number of seats over which one key is divided.
inline constexpr std::uint32_t maximumSeatsPerKey = 4;

// encodeSeatMap() encodes `map` as JSON. Safe from any thread.
[[nodiscard]] auto encodeSeatMap(const SeatMap& map) -> std::string;

// decodeSeatMap() decodes the output of encodeSeatMap(). On malformed input it returns nothing and sets `reason`. Safe
// from any thread.
[[nodiscard]] auto decodeSeatMap(std::string_view text, Error& reason) -> std::optional<SeatMap>;

} // namespace coriandergate::seat
