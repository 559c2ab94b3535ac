#include "dispatch/RateLimitOwners.h"

#include "base/Hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace coriandergate::dispatch {

auto rateLimitOwners(std::string_view account, const std::vector<RateLimitHost>& hosts,
    std::chrono::milliseconds storeTime) -> std::vector<std::string>
{
    const auto isSettled
        = [storeTime](const RateLimitHost& candidate) { return candidate.joinedAt + ownerJoinDelay <= storeTime; };
    const bool areAllNew = std::none_of(hosts.begin(), hosts.end(), isSettled);
    const auto seed = hashOf(account);
    std::vector<std::pair<std::uint64_t, std::string>> byWeight;
    for (const auto& candidate : hosts) {
        if (areAllNew || isSettled(candidate))
            byWeight.emplace_back(hashOf(candidate.host, seed), candidate.host);
    }
    const auto count = std::min(rateLimitOwnersPerRegion, byWeight.size());
    std::partial_sort(
        byWeight.begin(), byWeight.begin() + static_cast<std::ptrdiff_t>(count), byWeight.end(), std::greater<> {});
    std::vector<std::string> homes;
    for (std::size_t i = 0; i < count; ++i)
        homes.push_back(byWeight[i].second);
    return homes;
}

} // namespace coriandergate::dispatch
