// What the requests of one entry share, for tests of the path: an entry of the host "self" in one data centre.
//
//   EntryParts entry;
//   entry.addHost("a", server.port());
//   relay::EntryRequest::start(entry.context, exchange);
#pragma once

#include "fleet/HostDirectory.h"
#include "relay/EntryContext.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>

namespace coriandergate::testing {

// makeHostRow() is the row of a host whose daemon is at that port of the loopback address.
[[nodiscard]] auto makeHostRow(const std::string& host, std::uint16_t port, const Locality& locality,
    std::uint64_t version = 1) -> fleet::StoreRow;

// EntryParts is used on one thread.
struct EntryParts {
    EntryParts();

    static const Locality s_here;

    boost::asio::io_context io;
    net::HttpClient hops;
    dispatch::LoadBalancer board;
    dispatch::RetryBudget attempts;
    dispatch::CallRatio calls;
    dispatch::StalenessTracker proof; // without any news yet
    fleet::HostDirectory directory;
    relay::EntryContext context;
};

} // namespace coriandergate::testing
