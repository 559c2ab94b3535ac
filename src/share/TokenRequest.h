// A daemon's message to the home of client accounts: give me tokens.
#pragma once

#include "base/DaemonIdentity.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace coriandergate::share {

// TokenRequestItem asks for `needed` tokens for waiting requests, within `patience`, and for up to `ahead` more if the
// bucket has plenty. `id` is the asker's own.
struct TokenRequestItem {
    std::uint64_t id = 0;
    std::uint32_t seat = 0;
    std::string account;
    std::uint32_t split = 0;
    std::uint32_t needed = 0;
    std::uint32_t ahead = 0;
    std::chrono::milliseconds patience { 0 };

    friend auto operator==(const TokenRequestItem&, const TokenRequestItem&) -> bool = default;
};

// TokenRequest is one message to one daemon, for all accounts that have something to ask of it.
struct TokenRequest {
    DaemonIdentity from;
    DaemonIdentity to;
    std::vector<TokenRequestItem> items;

    friend auto operator==(const TokenRequest&, const TokenRequest&) -> bool = default;
};

} // namespace coriandergate::share
