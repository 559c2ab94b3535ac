// A request for a slot of a SlotTable.
#pragma once

#include "admission/Deadline.h"

#include <string>

namespace coriandergate::admission {

// SlotRequest names the group of targets that can serve the request (a service, or one target of it), the client
// account and the deadline.
struct SlotRequest {
    std::string group;
    std::string clientAccount;
    Deadline deadline;
};

} // namespace coriandergate::admission
