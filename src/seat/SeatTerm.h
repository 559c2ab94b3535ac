// Identifies the period in which one daemon may hold a seat, like a ballot number in Paxos.
//
// Terms are ordered by epoch, then by rank. The epoch is that of the seat's assignment in the seat map. Rank 0 is the
// holder that the assignment names; rank n is its n-th grantor, which takes over when all lower ranks have failed.
//
//   const SeatTerm first { 7, 0 };
//   const SeatTerm successor { 7, 1 }; // first < successor
#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace coriandergate::seat {

// closedRank closes an epoch: a grantor that has promised it grants no further lease in that epoch.
inline constexpr std::uint32_t closedRank = std::numeric_limits<std::uint32_t>::max();

// SeatTerm is a value.
struct SeatTerm {
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;

    friend auto operator<=>(const SeatTerm&, const SeatTerm&) -> std::strong_ordering = default;
};

} // namespace coriandergate::seat
