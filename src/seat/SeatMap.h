// The seat map: which daemon holds which part of the space of keys.
//
// It is one row of the table service and is written only under the condition that the former epoch still stands, so
// that of two daemons that plan a map at once, one wins. Keys (client accounts, idempotency keys, services, request
// fingerprints) are hashed onto a fixed number of seats.
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

// SeatMap is a value. Epoch 0 with no seats is "none yet".
struct SeatMap {
    std::uint64_t epoch = 0;
    std::vector<SeatAssignment> seats;

    // seatOf() is the seat of `key`; `split` spreads the parts of one key over seats that stand far apart. The map must
    // have seats. Safe from any thread.
    [[nodiscard]] auto seatOf(std::string_view key, std::uint32_t split = 0) const -> std::uint32_t;

    friend auto operator==(const SeatMap&, const SeatMap&) -> bool = default;
};

// maxSplitsPerKey is the number of seats over which the parts of one key are spread at most.
inline constexpr std::uint32_t maxSplitsPerKey = 4;

// encodeSeatMap() writes `map` as JSON. Safe from any thread.
[[nodiscard]] auto encodeSeatMap(const SeatMap& map) -> std::string;

// decodeSeatMap() reads what encodeSeatMap() wrote; on malformed text it returns nothing and says why in `reason`.
// Safe from any thread.
[[nodiscard]] auto decodeSeatMap(std::string_view text, Error& reason) -> std::optional<SeatMap>;

} // namespace coriandergate::seat
