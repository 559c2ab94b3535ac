// A live daemon, as input for planning a seat map.
#pragma once

#include "base/DaemonIdentity.h"
#include "base/Locality.h"

namespace coriandergate::seat {

// LiveDaemon is a value. One that `isLeaving` is shutting down and is chosen neither as holder nor as grantor.
struct LiveDaemon {
    DaemonIdentity identity;
    Locality locality;
    bool isLeaving = false;
};

} // namespace coriandergate::seat
