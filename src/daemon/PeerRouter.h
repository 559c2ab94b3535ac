// Finds the handler of a request between daemons by its path. Forwarded requests of callers don't come here.
#pragma once

#include "daemon/AdminRouter.h"

namespace coriandergate::daemon {

// PeerRouter is an AdminRouter of its own for the peer listener.
class PeerRouter : public AdminRouter { };

} // namespace coriandergate::daemon
