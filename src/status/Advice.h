// What a caller should do about a route: call, wait or retry.
//
//   const auto advice = advise(view, {}, now);
//   if (advice.action == Action::Call) ...
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <string>

namespace coriandergate::status {

struct RouteStatus;

enum class Action {
    Call, // a request would find a target
    Wait, // it would not, as far as this daemon knows, or the daemon doesn't know enough
    Retry, // it would probably not now; try again after a while
};

// Advice is a value.
struct Advice {
    struct Options {
        std::chrono::milliseconds staleAfter { 1500 }; // older news of a target isn't relied on
        std::chrono::milliseconds retryAfterRefusal { 2000 }; // how long a refusal is held against a service
    };

    Action action = Action::Wait;
    std::string reason; // one word
    std::chrono::milliseconds age {}; // of the news it rests on
    std::chrono::milliseconds retryAfter {}; // for Retry
};

// advise() decides from one daemon's view. In doubt it says Wait: Call is said only on fresh news of a target, so that
// the advice turns to Wait before it turns false. Safe from any thread.
[[nodiscard]] auto advise(const RouteStatus& view, const Advice::Options& options, MonotonicTime now) -> Advice;

} // namespace coriandergate::status
