// What the entry knows of one target before it sends it anything.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Locality.h"

#include <string>

namespace coriandergate::balance {

// TargetDescription is a value, taken from announcements.
struct TargetDescription {
    std::string address; // of the target, host:port
    DaemonIdentity owner; // the daemon beside it
    Locality locality;
    int slots = 1;
    MonotonicTime startedAt; // when it was first heard of, for its warm-up
    bool isDraining = false;

    friend auto operator==(const TargetDescription&, const TargetDescription&) -> bool = default;
};

} // namespace coriandergate::balance
