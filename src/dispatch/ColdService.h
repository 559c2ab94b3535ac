// What an entry must expect of a target that has just started, until the daemon on its host reports.
//
//   const ColdService service { .fraction = 15.0 / 28, .coldTime = 3s };
#pragma once

#include <chrono>

namespace coriandergate::dispatch {

// ColdService is a value.
struct ColdService {
    double fraction = 1; // of a warm target's requests that a cold one takes, above 0
    std::chrono::milliseconds coldTime { 0 }; // for which a target that has started is taken for cold
};

} // namespace coriandergate::dispatch
