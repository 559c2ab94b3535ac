// The response to a TokenRequest.
#pragma once

#include "base/DaemonIdentity.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace coriandergate::share {

// TokenResponseItem answers the TokenRequestItem with the same `id`. `delays` has one entry per token: the time from
// the response until the token is valid. The token expires `tokenLifetime` plus this delay after the request was sent.
struct TokenResponseItem {
    std::uint64_t id = 0;
    bool isSeatHolder = false; // false: the daemon does not hold the seat; the fields below are not set
    std::vector<std::chrono::microseconds> delays;
    std::chrono::milliseconds tokenLifetime { 0 };
    std::chrono::microseconds retryAfter { 0 }; // when fewer tokens were issued than needed

    friend auto operator==(const TokenResponseItem&, const TokenResponseItem&) -> bool = default;
};

// TokenResponse answers all items of one TokenRequest.
struct TokenResponse {
    DaemonIdentity from;
    DaemonIdentity to;
    std::vector<TokenResponseItem> items;

    friend auto operator==(const TokenResponse&, const TokenResponse&) -> bool = default;
};

} // namespace coriandergate::share
