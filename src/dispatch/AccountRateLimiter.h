// Enforces the rate limits of client accounts across all hosts: the owners of an account grant its requests one at a
// time.
//
// A host that becomes an owner starts with an empty bucket. A host that joined starts granting when its join delay
// ends. A host that replaces a former owner waits for the handover delay first, after which the former owner grants
// nothing any more. A host that is an owner by the first list of hosts it receives has most likely been restarted, and
// starts with a few tokens.
//
// Load patterns: callers of one account concentrated on few hosts; one account at several times its rate; hosts that
// join and leave; an owner that is partitioned or paused; all owners restarted at once.
//
//   AccountRateLimiter limiter({ .limits = limits, .fraction = 0.25 }, startedAt);
//   limiter.setHosts(hosts, now);
//   if (limiter.tryAcquire(account, self, storeTime, now).isGranted) ...
//
// A fixed share for every host would need no call to an owner, but divided among tens of hosts the burst of most
// accounts comes to less than one request, so nothing would be granted.
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
        double fraction = 0.25; // of each account's limit, enforced by one owner
        // After a change of the list of hosts. By then a former owner has received the new list too, or its data is so
        // old that it accepts no API keys and grants nothing.
        std::chrono::milliseconds handoverDelay { 5000 };
    };

    // AccountRateLimiter() has granted nothing since `startedAt`.
    AccountRateLimiter(const Options& options, MonotonicTime startedAt)
        : m_options(options)
        , m_startedAt(startedAt)
    {
    }

    // setHosts() replaces the list of hosts of this region.
    auto setHosts(const std::vector<RateLimitHost>& hosts, MonotonicTime now) -> void;

    // Decision tells whether a request is within the rate. If it isn't, `retryAfter` is the time until the owner can
    // grant the next one; it is empty when this host can't decide, since it isn't an owner or has just become one.
    struct Decision {
        bool isGranted = false;
        std::optional<std::chrono::milliseconds> retryAfter;
    };

    // tryAcquire() grants one request of `account` if `self` is an owner of it and has a token left. `storeTime` is the
    // current time on the store's clock.
    [[nodiscard]] auto tryAcquire(const config::ClientAccount& account, std::string_view self,
        std::chrono::milliseconds storeTime, MonotonicTime now) -> Decision;

private:
    [[nodiscard]] auto isHandoverPending(
        std::string_view account, std::string_view self, std::chrono::milliseconds storeTime) const -> bool;

    [[nodiscard]] auto initialBucket(const config::ClientAccount& account, std::string_view self,
        std::chrono::milliseconds storeTime, MonotonicTime now) const -> TokenBucket;

    struct FormerHosts {
        std::vector<RateLimitHost> hosts;
        MonotonicTime replacedAt;
    };

    Options m_options;
    MonotonicTime m_startedAt;
    std::vector<RateLimitHost> m_hosts;
    std::optional<MonotonicTime> m_hostsChangedAt; // empty until a list of hosts replaces the first one
    std::deque<FormerHosts> m_formerHosts;
    std::map<std::string, TokenBucket, std::less<>> m_buckets;
};

} // namespace coriandergate::dispatch
