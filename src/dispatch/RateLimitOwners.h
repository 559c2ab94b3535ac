// Selects the hosts that own the rate limit of a client account.
//
// Each account has a few owners in each region, selected by rendezvous hashing of its name. All hosts compute them from
// the same list, so no election is needed. A host that has just joined owns nothing yet: by the time it becomes an
// owner, every host whose copy of the list is fresh knows it, so the former owner stops as the new one starts.
//
//   const auto owners = rateLimitOwners("account-7", hosts, storeTime);
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::dispatch {

// With two owners one can be unreachable, and each still receives enough of the account's requests to smooth its
// bursts.
inline constexpr std::size_t rateLimitOwnersPerRegion = 2;

// From the time a host joins until it may own accounts; longer than the maximum age of a list of hosts by which owners
// grant requests.
inline constexpr std::chrono::milliseconds ownerJoinDelay { 6000 };

// RateLimitHost is a host that may own accounts.
struct RateLimitHost {
    std::string host;
    std::chrono::milliseconds joinedAt { 0 }; // on the store's clock

    friend auto operator==(const RateLimitHost&, const RateLimitHost&) -> bool = default;
};

// rateLimitOwners() returns the owners of `account` among `hosts`, the same on every host: rateLimitOwnersPerRegion of
// them, or all if there are fewer. A host that joined less than ownerJoinDelay ago isn't eligible, unless all hosts are
// that new. `storeTime` is the current time on the store's clock.
[[nodiscard]] auto rateLimitOwners(std::string_view account, const std::vector<RateLimitHost>& hosts,
    std::chrono::milliseconds storeTime) -> std::vector<std::string>;

} // namespace coriandergate::dispatch
