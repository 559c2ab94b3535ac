// The answer to a ShareAsk.
#pragma once

#include "base/DaemonIdentity.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace coriandergate::share {

// ShareGrantItem answers the ask of the same `id`. `delays` has one entry a token: from when on, after the home
// answered, it may be used. A token's lifetime runs from when the ask was sent, plus that delay.
struct ShareGrantItem {
    std::uint64_t id = 0;
    bool isHome = false; // false: the daemon does not hold the seat; nothing else counts
    std::vector<std::chrono::microseconds> delays;
    std::chrono::milliseconds lifetime { 0 };
    std::chrono::microseconds retryAfter { 0 }; // if fewer tokens came than were needed

    friend auto operator==(const ShareGrantItem&, const ShareGrantItem&) -> bool = default;
};

// ShareGrant answers all items of one ShareAsk.
struct ShareGrant {
    DaemonIdentity from;
    DaemonIdentity to;
    std::vector<ShareGrantItem> items;

    friend auto operator==(const ShareGrant&, const ShareGrant&) -> bool = default;
};

} // namespace coriandergate::share
