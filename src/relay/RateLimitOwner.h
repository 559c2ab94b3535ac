// Serves rate limit checks for the client accounts whose rate limits this host owns.
//
// Entries send one check per request; this host grants requests from its share of the account's rate.
//
//   RateLimitOwner owner(context, options, now);
//   owner.setHosts(directory.rateLimitHostsInRegion(region), now);
//   owner.handle(exchange);
#pragma once

#include "dispatch/AccountRateLimiter.h"

#include <memory>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::relay {

struct EntryContext;

// RateLimitOwner runs on the thread of its context, which must outlive it.
class RateLimitOwner {
public:
    RateLimitOwner(EntryContext& context, const dispatch::AccountRateLimiter::Options& options, MonotonicTime startedAt)
        : m_context(context)
        , m_limiter(options, startedAt)
    {
    }

    // setHosts() replaces the list of hosts in this region, from which the owners of each account are computed.
    auto setHosts(const std::vector<dispatch::RateLimitHost>& hosts, MonotonicTime now) -> void
    {
        m_limiter.setHosts(hosts, now);
    }

    // handle() responds to one check: 200 when the request is granted, 429 with the time until the next one can be, 503
    // when this host does not own the rate limit or can't decide, 400 when the message can't be decoded.
    auto handle(const std::shared_ptr<http::Exchange>& exchange) -> void;

private:
    EntryContext& m_context;
    dispatch::AccountRateLimiter m_limiter;
};

} // namespace coriandergate::relay
