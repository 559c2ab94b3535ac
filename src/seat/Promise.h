// A guard's answer to a PromiseAsk.
#pragma once

#include "base/DaemonIdentity.h"
#include "seat/SeatTerm.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::seat {

// Promise, when `isGiven`, holds for the rest of the epoch; `remaining` is how long the guard's last lease to an
// earlier rank may still run.
struct Promise {
    DaemonIdentity successor;
    DaemonIdentity guard;
    std::uint32_t seat = 0;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    bool isGiven = false;
    std::chrono::milliseconds remaining { 0 };
};

} // namespace coriandergate::seat
