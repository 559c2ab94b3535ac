// The guards of an earlier epoch of a seat, which a new holder closes before it starts.
#pragma once

#include "base/DaemonIdentity.h"

#include <cstdint>
#include <vector>

namespace coriandergate::seat {

// FormerEpoch is one earlier epoch that may still have a holder. `lost` names the guards whose process is known to
// have ended: their leases run out by themselves within one lease duration.
struct FormerEpoch {
    std::uint64_t epoch = 0;
    std::vector<DaemonIdentity> grantors;
    std::vector<DaemonIdentity> terminatedGrantors;

    friend auto operator==(const FormerEpoch&, const FormerEpoch&) -> bool = default;
};

} // namespace coriandergate::seat
