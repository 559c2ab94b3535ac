// What becomes of a request that needs a token.
//
//   std::visit(Handler { ... }, holder.acquire("account-7", limits, now));
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstdint>
#include <variant>

namespace coriandergate::share {

// ShareGranted: the request may go, and must reach its target before `useBy`.
struct ShareGranted {
    MonotonicTime useBy;
};

// ShareWaiting: a token is under way; the decision comes later under `ticket`, by `until` at the latest.
struct ShareWaiting {
    std::uint64_t ticket = 0;
    MonotonicTime until;
};

// ShareRefused: the request must not go; a token may be free after `retryAfter`. The account `isOverLimit`, or else no
// home of it answered in time.
struct ShareRefused {
    std::chrono::milliseconds retryAfter { 0 };
    bool isOverLimit = true;
};

using ShareDecision = std::variant<ShareGranted, ShareWaiting, ShareRefused>;

// ShareSettlement is the decision on a request that waited.
struct ShareSettlement {
    std::uint64_t ticket = 0;
    ShareDecision decision;
};

} // namespace coriandergate::share
