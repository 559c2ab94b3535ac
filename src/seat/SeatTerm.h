// The period for which one daemon may hold a seat.
//
// A term is ordered: a later epoch is later, and within an epoch a higher rank is later. Rank 0 is the holder that the
// seat map names, rank n the map's n-th guard, which takes over when the ranks before it have gone.
//
//   const SeatTerm first { 7, 0 };
//   const SeatTerm successor { 7, 1 }; // first < successor
#pragma once

#include <compare>
#include <cstdint>
#include <limits>

namespace coriandergate::seat {

// closedRank, promised by a guard, ends every rank of an epoch.
inline constexpr std::uint32_t closedRank = std::numeric_limits<std::uint32_t>::max();

// SeatTerm is a value.
struct SeatTerm {
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;

    friend auto operator<=>(const SeatTerm&, const SeatTerm&) -> std::strong_ordering = default;
};

} // namespace coriandergate::seat
