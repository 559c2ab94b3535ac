// Client accounts' rates, counted over all hosts together: handed out one request at a time by the account's homes.
//
// Each account has a few homes in each region: the hosts that its name hashes to. All hosts find them from the same
// list, so nothing is elected. A host that becomes a home begins with nothing, and only after a host that was a home
// before must have noticed.
//
// Load patterns: callers of one account gathered at few hosts; one account at several times its rate; hosts that come
// and go; a home that is cut off or paused.
//
//   RatePool pool({ .limits = limits, .part = 0.25 });
//   pool.setHosts(hosts, now);
//   if (pool.take(account, self, now).isGranted) ...
//
// A part of its own for each host would need no call, but split among tens of hosts most accounts' bursts come to less
// than one request, which is never granted.
#pragma once

#include "base/Clock.h"
#include "dispatch/RateLimits.h"

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::config {
struct ClientAccount;
}

namespace coriandergate::dispatch {

// Homes of an account in a region. With two of them one can be out of reach, and each still smooths the account's ups
// and downs.
inline constexpr std::size_t rateHomesOfRegion = 2;

// rateHomes() are the hosts among `hosts` that `account` hashes to, the same wherever it is asked: rateHomesOfRegion of
// them, or all if there are fewer.
[[nodiscard]] auto rateHomes(std::string_view account, const std::vector<std::string>& hosts)
    -> std::vector<std::string>;

// RatePool is used by one thread.
class RatePool {
public:
    struct Options {
        RateLimits limits;
        double part = 0.25; // of each account's rate, handed out by one home
        std::chrono::milliseconds handOver { 5000 }; // until a former home has noticed or takes no keys any more
    };

    // RatePool() has handed out nothing since `startedAt`.
    RatePool(const Options& options, MonotonicTime startedAt)
        : m_options(options)
        , m_startedAt(startedAt)
    {
    }

    // setHosts() takes over the hosts of this region.
    auto setHosts(const std::vector<std::string>& hosts, MonotonicTime now) -> void;

    // Decision says whether a request is within the rate, and if not, when the home has the next one.
    struct Decision {
        bool isGranted = false;
        std::chrono::milliseconds turnIn { 0 };
    };

    // take() takes one request of `account` if `self` is a home of it and has one left.
    [[nodiscard]] auto take(const config::ClientAccount& account, std::string_view self, MonotonicTime now) -> Decision;

private:
    struct View {
        std::vector<std::string> hosts;
        MonotonicTime until; // it was in force until then
    };

    Options m_options;
    MonotonicTime m_startedAt;
    std::vector<std::string> m_hosts;
    std::deque<View> m_formerViews;
    std::map<std::string, RateBucket, std::less<>> m_buckets;
};

} // namespace coriandergate::dispatch
