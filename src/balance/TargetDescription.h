// What is known of one target from its announcement, before any request is sent to it.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Locality.h"

#include <string>

namespace coriandergate::balance {

// TargetDescription is a value.
struct TargetDescription {
    std::string address; // host:port
    DaemonIdentity owner; // the daemon on the target's host
    Locality locality;
    int slots = 1;
    MonotonicTime startedAt; // when this daemon first saw the announcement; start of the warm-up
    bool isDraining = false;

    friend auto operator==(const TargetDescription&, const TargetDescription&) -> bool = default;
};

} // namespace coriandergate::balance
