// A daemon whose records are believed to be lost.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"

#include <string>

namespace coriandergate::once {

// LostDaemon means that `identity` isn't expected to report its records any more, and that it ran no request after
// `lostAt`. A report that does arrive still counts (see SeatRebuild::addReport()).
struct LostDaemon {
    DaemonIdentity identity;
    std::string dataCentre;
    MonotonicTime lostAt;
};

} // namespace coriandergate::once
