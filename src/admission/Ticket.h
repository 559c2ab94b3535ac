// The identifier of a request in a SlotTable.
#pragma once

#include <compare>
#include <cstdint>

namespace coriandergate::admission {

// Ticket values are not reused within a SlotTable.
struct Ticket {
    std::uint64_t value = 0;

    friend auto operator<=>(const Ticket&, const Ticket&) -> std::strong_ordering = default;
};

} // namespace coriandergate::admission
