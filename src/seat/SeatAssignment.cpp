#include "seat/SeatAssignment.h"

#include <algorithm>

namespace coriandergate::seat {

auto SeatAssignment::rankOf(const DaemonIdentity& daemon) const -> std::optional<std::uint32_t>
{
    if (daemon == holder)
        return 0;
    const auto found = std::find(grantors.begin(), grantors.end(), daemon);
    if (found == grantors.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(found - grantors.begin() + 1);
}

auto SeatAssignment::candidate(std::uint32_t rank) const -> const DaemonIdentity*
{
    if (rank == 0)
        return &holder;
    return rank <= grantors.size() ? &grantors[rank - 1] : nullptr;
}

} // namespace coriandergate::seat
