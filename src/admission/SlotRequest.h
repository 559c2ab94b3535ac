// What a SlotTable must know of a request that asks for a slot.
#pragma once

#include "admission/Deadline.h"

#include <string>

namespace coriandergate::admission {

// SlotRequest names the group of targets that can serve a request (a service, or one target of it), who asks, and how
// long the caller will wait.
struct SlotRequest {
    std::string group;
    std::string clientAccount;
    Deadline deadline;
};

} // namespace coriandergate::admission
