// The answer to a TokenRequest.
#pragma once

#include "base/DaemonIdentity.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace coriandergate::share {

// TokenResponseItem answers the ask of the same `id`. `delays` has one entry a token: from when on, after the home
// answered, it may be used. A token's lifetime runs from when the ask was sent, plus that delay.
struct TokenResponseItem {
    std::uint64_t id = 0;
    bool isHome = false; // false: the daemon does not hold the seat; nothing else counts
    std::vector<std::chrono::microseconds> delays;
    std::chrono::milliseconds lifetime { 0 };
    std::chrono::microseconds retryAfter { 0 }; // if fewer tokens came than were needed

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
