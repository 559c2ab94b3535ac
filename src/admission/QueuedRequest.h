// An element of a FairQueue.
#pragma once

#include "admission/Deadline.h"
#include "admission/Ticket.h"

#include <string>

namespace coriandergate::admission {

// QueuedRequest holds the attributes of a request that the queue orders and limits by.
struct QueuedRequest {
    Ticket ticket;
    Deadline deadline;
    std::string clientAccount;
};

} // namespace coriandergate::admission
