// A daemon whose memory is gone.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"

#include <string>

namespace coriandergate::once {

// LostDaemon: nothing that `identity` remembered can be asked for any more, and it ran nothing after `lostAt`.
struct LostDaemon {
    DaemonIdentity identity;
    std::string dataCentre;
    MonotonicTime lostAt;
};

} // namespace coriandergate::once
