// The load of one target, as the daemon beside it writes it into every answer.
#pragma once

#include <chrono>

namespace coriandergate::balance {

// LoadReport is a value. `ejectedFor` and `isLessPreferred` carry what health/ decided.
struct LoadReport {
    int busySlots = 0;
    int queued = 0;
    std::chrono::milliseconds ejectedFor {
        0
    }; // rest of the ejection, counted by the entry from when it sent its request
    bool isLessPreferred = false;
    bool isDraining = false;
};

} // namespace coriandergate::balance
