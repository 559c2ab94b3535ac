// What a client should do about a route: call it, wait, or retry later.
//
//   const auto advice = advise(routeStatus, {}, now);
//   if (advice.action == Action::Call) ...
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <string>

namespace coriandergate::status {

struct RouteStatus;

enum class Action {
    Call, // a request is expected to reach a target
    Wait, // no target is known to this daemon, or what it knows is out of date
    Retry, // a request was refused recently; try again after `retryAfter`
};

// Advice is a value.
struct Advice {
    struct Options {
        std::chrono::milliseconds staleAfter { 1500 }; // maximum age of target information for Call
        std::chrono::milliseconds refusalHoldTime { 2000 }; // how long a refusal leads to Retry
    };

    Action action = Action::Wait;
    std::string reason; // one word
    std::chrono::milliseconds age {}; // of the target information
    std::chrono::milliseconds retryAfter {}; // for Retry: remaining hold time of the last refusal
};

// advise() decides from the state known to one daemon. It returns Call only if target information is recent and Wait in
// case of doubt, so that the advice changes to Wait before Call becomes wrong. Safe from any thread.
[[nodiscard]] auto advise(const RouteStatus& status, const Advice::Options& options, MonotonicTime now) -> Advice;

} // namespace coriandergate::status
