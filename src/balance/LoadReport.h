// The load of one target, as the daemon on the target's host adds it to every response.
#pragma once

#include <chrono>

namespace coriandergate::balance {

// LoadReport is a value. `ejectedFor` and `isLessPreferred` come from the ejection decisions of health/.
struct LoadReport {
    int busySlots = 0;
    int waiting = 0; // requests queued for a slot
    std::chrono::milliseconds ejectedFor { 0 }; // remaining ejection, counted from when the request was sent
    bool isLessPreferred = false;
    bool isDraining = false;
};

} // namespace coriandergate::balance
