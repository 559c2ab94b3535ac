// What becomes of a request that needs a token.
//
//   std::visit(Handler { ... }, holder.acquire("account-7", limits, now));
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstdint>
#include <variant>

namespace coriandergate::share {

// TokenGranted: the request may go, and must reach its target before `expiresAt`.
struct TokenGranted {
    MonotonicTime expiresAt;
};

// TokenPending: a token is under way; the decision comes later under `ticket`, by `until` at the latest.
struct TokenPending {
    std::uint64_t ticket = 0;
    MonotonicTime until;
};

// TokenRefused: the request must not go; a token may be free after `retryAfter`. The account `isOverLimit`, or else no
// home of it answered in time.
struct TokenRefused {
    std::chrono::milliseconds retryAfter { 0 };
    bool isOverLimit = true;
};

using TokenDecision = std::variant<TokenGranted, TokenPending, TokenRefused>;

// DeferredDecision is the decision on a request that waited.
struct DeferredDecision {
    std::uint64_t ticket = 0;
    TokenDecision decision;
};

} // namespace coriandergate::share
