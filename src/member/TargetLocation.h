// A target and the daemon that serves it, as input to load balancing.
#pragma once

#include "base/DaemonIdentity.h"
#include "base/Locality.h"

#include <cstdint>
#include <string>

namespace coriandergate::member {

// TargetLocation locates one target.
struct TargetLocation {
    std::string address; // IP:port of the target
    std::uint32_t slots = 1; // maximum concurrent requests
    DaemonIdentity owner; // the daemon on the target's host
    Locality locality; // of the owner
};

} // namespace coriandergate::member
