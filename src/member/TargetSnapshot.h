// All targets of one host at one version, for gossip.
#pragma once

#include "member/Target.h"

#include <cstdint>
#include <vector>

namespace coriandergate::member {

// TargetSnapshot is a value, sorted by service and address. Two snapshots of one registry with the same version are
// equal.
struct TargetSnapshot {
    std::uint64_t version = 0;
    std::vector<Target> targets;
};

} // namespace coriandergate::member
