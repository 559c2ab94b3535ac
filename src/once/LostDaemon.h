// A daemon whose records are lost.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"

#include <string>

namespace coriandergate::once {

// LostDaemon means that `identity` can't report its records any more, and that it ran no request after `lostAt`.
struct LostDaemon {
    DaemonIdentity identity;
    std::string dataCentre;
    MonotonicTime lostAt;
};

} // namespace coriandergate::once
