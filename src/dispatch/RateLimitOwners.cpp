#include "dispatch/RateLimitOwners.h"

#include "base/Hash.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace coriandergate::dispatch {

auto rateLimitOwners(std::string_view account, const std::vector<RateLimitHost>& hosts,
    std::chrono::milliseconds storeTime) -> std::vector<std::string>
{
    const auto isEligible
        = [storeTime](const RateLimitHost& candidate) { return candidate.joinedAt + ownerJoinDelay <= storeTime; };
    const bool areNoneEligible = std::none_of(hosts.begin(), hosts.end(), isEligible);
    const auto seed = hashOf(account);
    std::vector<std::pair<std::uint64_t, std::string>> weightedHosts;
    for (const auto& candidate : hosts) {
        if (areNoneEligible || isEligible(candidate))
            weightedHosts.emplace_back(hashOf(candidate.host, seed), candidate.host);
    }
    const auto count = std::min(rateLimitOwnersPerRegion, weightedHosts.size());
    std::partial_sort(weightedHosts.begin(), weightedHosts.begin() + static_cast<std::ptrdiff_t>(count),
        weightedHosts.end(), std::greater<> {});
    std::vector<std::string> owners;
    for (std::size_t i = 0; i < count; ++i)
        owners.push_back(weightedHosts[i].second);
    return owners;
}

} // namespace coriandergate::dispatch
