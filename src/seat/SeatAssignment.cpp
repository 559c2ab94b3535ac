#include "seat/SeatAssignment.h"

#include <algorithm>

namespace coriandergate::seat {

auto SeatAssignment::rankOf(const DaemonIdentity& daemon) const -> std::optional<std::uint32_t>
{
    if (daemon == holder)
        return 0;
    const auto found = std::find(guards.begin(), guards.end(), daemon);
    if (found == guards.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(found - guards.begin() + 1);
}

auto SeatAssignment::candidate(std::uint32_t rank) const -> const DaemonIdentity*
{
    if (rank == 0)
        return &holder;
    return rank <= guards.size() ? &guards[rank - 1] : nullptr;
}

} // namespace coriandergate::seat
