// A target behind some daemon, for those who choose one.
#pragma once

#include "base/DaemonIdentity.h"
#include "base/Locality.h"

#include <cstdint>
#include <string>

namespace coriandergate::member {

// TargetLocation is a value.
struct TargetLocation {
    std::string address; // IP:port of the target
    std::uint32_t slots = 1;
    DaemonIdentity owner; // the daemon on the target's host
    Locality locality;
};

} // namespace coriandergate::member
