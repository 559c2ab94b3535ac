// The hosts that hand out a client account's rate.
//
// Each account has a few homes in each region: the hosts that its name hashes to. All hosts find them from the same
// list, so nothing is elected. A host that joined a moment ago is no home yet: every host that goes by fresh news of
// the list knows it by the time at which it becomes one, so the former home stops as the new one begins.
//
//   const auto homes = rateLimitOwners("account-7", hosts, storeTime);
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::dispatch {

// Homes of an account in a region. With two of them one can be out of reach, and each still smooths the account's ups
// and downs.
inline constexpr std::size_t rateLimitOwnersPerRegion = 2;

// From a host's joining until it may be a home: longer than the oldest news of the hosts by which rates are handed out.
inline constexpr std::chrono::milliseconds ownerJoinDelay { 6000 };

// RateLimitHost is a host that may be a home.
struct RateLimitHost {
    std::string host;
    std::chrono::milliseconds joinedAt { 0 }; // on the store's clock

    friend auto operator==(const RateLimitHost&, const RateLimitHost&) -> bool = default;
};

// rateLimitOwners() are the homes of `account` among `hosts`, the same wherever it is asked: rateLimitOwnersPerRegion
// of them, or all if there are fewer. While every host is new, all of them count. `storeTime` is the present time on
// the store's clock.
[[nodiscard]] auto rateLimitOwners(std::string_view account, const std::vector<RateLimitHost>& hosts,
    std::chrono::milliseconds storeTime) -> std::vector<std::string>;

} // namespace coriandergate::dispatch
