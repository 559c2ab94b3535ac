// Client accounts' rates, counted over all hosts together: handed out one request at a time by the account's homes.
//
// A host that becomes a home begins with nothing: one that joined when its time has come, one that takes the place of a
// host that went only after that one must have noticed. One that is a home by the first hosts it knows has been started
// again, mostly, and begins with a few requests.
//
// Load patterns: callers of one account gathered at few hosts; one account at several times its rate; hosts that come
// and go; a home that is cut off or paused; all homes started again at once.
//
//   AccountRateLimiter pool({ .limits = limits, .fraction = 0.25 });
//   pool.setHosts(hosts, now);
//   if (pool.tryAcquire(account, self, storeTime, now).isGranted) ...
//
// A part of its own for each host would need no call, but split among tens of hosts most accounts' bursts come to less
// than one request, which is never granted.
#pragma once

#include "base/Clock.h"
#include "dispatch/RateLimitOwners.h"
#include "dispatch/RateLimits.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::config {
struct ClientAccount;
}

namespace coriandergate::dispatch {

// AccountRateLimiter is used by one thread.
class AccountRateLimiter {
public:
    struct Options {
        RateLimits limits;
        double fraction = 0.25; // of each account's rate, handed out by one home
        std::chrono::milliseconds handOver { 5000 }; // until a former home has noticed or takes no keys any more
    };

    // AccountRateLimiter() has handed out nothing since `startedAt`.
    AccountRateLimiter(const Options& options, MonotonicTime startedAt)
        : m_options(options)
        , m_startedAt(startedAt)
    {
    }

    // setHosts() takes over the hosts of this region.
    auto setHosts(const std::vector<RateLimitHost>& hosts, MonotonicTime now) -> void;

    // Decision says whether a request is within the rate, and if not, when the home has the next one; nothing when
    // this host can't tell, since it isn't a home or has just become one.
    struct Decision {
        bool isGranted = false;
        std::optional<std::chrono::milliseconds> retryAfter;
    };

    // take() takes one request of `account` if `self` is a home of it and has one left. `storeTime` is the present time
    // on the store's clock.
    [[nodiscard]] auto tryAcquire(const config::ClientAccount& account, std::string_view self,
        std::chrono::milliseconds storeTime, MonotonicTime now) -> Decision;

private:
    [[nodiscard]] auto isNewHome(
        std::string_view account, std::string_view self, std::chrono::milliseconds storeTime) const -> bool;

    [[nodiscard]] auto firstBucket(const config::ClientAccount& account, std::string_view self,
        std::chrono::milliseconds storeTime, MonotonicTime now) const -> TokenBucket;

    struct View {
        std::vector<RateLimitHost> hosts;
        MonotonicTime until; // it was in force until then
    };

    Options m_options;
    MonotonicTime m_startedAt;
    std::vector<RateLimitHost> m_hosts;
    std::optional<MonotonicTime> m_changedAt; // the list of hosts, since the first one
    std::deque<View> m_formerViews;
    std::map<std::string, TokenBucket, std::less<>> m_buckets;
};

} // namespace coriandergate::dispatch
