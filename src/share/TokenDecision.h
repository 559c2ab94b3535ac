// The decisions of a TokenClient about a request.
//
//   std::visit(Handler { ... }, client.acquire("account-7", limits, now));
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstdint>
#include <variant>

namespace coriandergate::share {

// TokenGranted means that the request may be forwarded and must reach its target before `expiresAt`.
struct TokenGranted {
    MonotonicTime expiresAt;
};

// TokenPending means that the request waits for a token. A DeferredDecision with the same `ticket` follows by
// `deadline`, unless the request is cancelled.
struct TokenPending {
    std::uint64_t ticket = 0;
    MonotonicTime deadline;
};

// TokenRefused means that the request must not be forwarded; a token may be available after `retryAfter`. `isOverLimit`
// is true if the account has exceeded its limit, and false if no daemon that issues its tokens responded in time.
struct TokenRefused {
    std::chrono::milliseconds retryAfter { 0 };
    bool isOverLimit = true;
};

using TokenDecision = std::variant<TokenGranted, TokenPending, TokenRefused>;

// DeferredDecision is the decision on a request that was pending; it is never TokenPending.
struct DeferredDecision {
    std::uint64_t ticket = 0;
    TokenDecision decision;
};

} // namespace coriandergate::share
