// This host's part in the rates of client accounts: hands out requests to the entries that ask.
//
//   RateHome home(context, options, now);
//   home.setHosts(directory.rateHostsInRegion(region), now);
//   home.answer(exchange);
#pragma once

#include "dispatch/RatePool.h"

#include <memory>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::relay {

struct EntryContext;

// RateHome is used on the thread of its context, which outlives it.
class RateHome {
public:
    RateHome(EntryContext& context, const dispatch::RatePool::Options& options, MonotonicTime startedAt)
        : m_context(context)
        , m_pool(options, startedAt)
    {
    }

    // setHosts() takes over the hosts of this region.
    auto setHosts(const std::vector<dispatch::RateHost>& hosts, MonotonicTime now) -> void
    {
        m_pool.setHosts(hosts, now);
    }

    // answer() answers an ask for one request of an account: granted, when its turn comes, or that this host can't
    // tell.
    auto answer(const std::shared_ptr<http::Exchange>& exchange) -> void;

private:
    EntryContext& m_context;
    dispatch::RatePool m_pool;
};

} // namespace coriandergate::relay
