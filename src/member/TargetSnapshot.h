// All targets of one host at one registry version.
#pragma once

#include "member/Target.h"

#include <cstdint>
#include <vector>

namespace coriandergate::member {

// TargetSnapshot lists targets sorted by service and address. Two snapshots of one registry with the same version are
// equal, except for targets that expired in between and changes made while a snapshot was taken.
struct TargetSnapshot {
    std::uint64_t version = 0;
    std::vector<Target> targets;
};

} // namespace coriandergate::member
