// The message with which a daemon requests rate-limit tokens from the daemon that issues them.
#pragma once

#include "base/DaemonIdentity.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace coriandergate::share {

// TokenRequestItem requests tokens of one of an account's buckets: `neededTokens` for waiting requests, each valid
// within `maximumDelay`, and up to `prefetchTokens` more while the bucket is at least half full. `id` is chosen by the
// requesting daemon; the holder of `seat` issues the bucket's tokens.
struct TokenRequestItem {
    std::uint64_t id = 0;
    std::uint32_t seat = 0;
    std::string account;
    std::uint32_t bucketIndex = 0;
    std::uint32_t neededTokens = 0;
    std::uint32_t prefetchTokens = 0;
    std::chrono::milliseconds maximumDelay { 0 };

    friend auto operator==(const TokenRequestItem&, const TokenRequestItem&) -> bool = default;
};

// TokenRequest batches the items for all accounts whose tokens are requested from the same daemon.
struct TokenRequest {
    DaemonIdentity from;
    DaemonIdentity to;
    std::vector<TokenRequestItem> items;

    friend auto operator==(const TokenRequest&, const TokenRequest&) -> bool = default;
};

} // namespace coriandergate::share
