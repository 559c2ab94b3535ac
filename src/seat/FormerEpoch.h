// An earlier epoch of a seat, which the seat's new holder must close before it acquires a lease.
#pragma once

#include "base/DaemonIdentity.h"

#include <cstdint>
#include <vector>

namespace coriandergate::seat {

// FormerEpoch is one earlier epoch in which a daemon may still hold the seat. `terminatedGrantors` are the grantors
// whose process is known to have ended: they can't promise anything, but their leases expire within one lease duration.
struct FormerEpoch {
    std::uint64_t epoch = 0;
    std::vector<DaemonIdentity> grantors;
    std::vector<DaemonIdentity> terminatedGrantors;

    friend auto operator==(const FormerEpoch&, const FormerEpoch&) -> bool = default;
};

} // namespace coriandergate::seat
