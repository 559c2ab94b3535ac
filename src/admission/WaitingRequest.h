// A request that waits in a FairQueue.
#pragma once

#include "admission/Deadline.h"
#include "admission/Ticket.h"

#include <string>

namespace coriandergate::admission {

// WaitingRequest is what the queue needs to know of a request.
struct WaitingRequest {
    Ticket ticket;
    Deadline deadline;
    std::string clientAccount;
};

} // namespace coriandergate::admission
