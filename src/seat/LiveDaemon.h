// What is known of one daemon when a seat map is planned.
#pragma once

#include "base/DaemonIdentity.h"
#include "base/Locality.h"

namespace coriandergate::seat {

// LiveDaemon is a live daemon; one that `isLeaving` is shutting down and gets no seat.
struct LiveDaemon {
    DaemonIdentity identity;
    Locality locality;
    bool isLeaving = false;
};

} // namespace coriandergate::seat
