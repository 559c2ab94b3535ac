// An EntryContext with everything that it refers to, for tests of src/relay: the entry of host "self" in data centre
// "west-a", without targets, known hosts or configuration.
//
//   EntryFixture entry;
//   entry.directory.apply({ makeHostRow("a", server.port(), EntryFixture::s_locality) }, true);
//   relay::EntryRequest::start(entry.context, exchange);
#pragma once

#include "fleet/HostDirectory.h"
#include "relay/CrashRegistry.h"
#include "relay/EntryContext.h"
#include "testing/OneRowStore.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>

namespace coriandergate::testing {

// makeHostRow() returns the store row of a host whose daemon listens on the given port of 127.0.0.1.
[[nodiscard]] auto makeHostRow(const std::string& host, std::uint16_t port, const Locality& locality,
    std::uint64_t version = 1) -> fleet::StoreRow;

// EntryFixture is used on one thread. Its context is ready from the start, so requests do not wait for a configuration.
struct EntryFixture {
    EntryFixture();

    static const Locality s_locality;

    std::shared_ptr<boost::asio::io_context> ownedIo = std::make_shared<boost::asio::io_context>();
    boost::asio::io_context& io = *ownedIo;
    net::HttpClient peerClient;
    dispatch::LoadBalancer loadBalancer;
    dispatch::RetryBudget retryBudget;
    dispatch::CallRatio callRatio;
    dispatch::StalenessTracker freshness; // of the configuration and the host list; stale until a response is recorded
    fleet::HostDirectory directory;
    OneRowStore store { "" }; // of the marks of requests that crash targets
    relay::CrashRegistry crashRegistry;
    relay::EntryContext context;
};

} // namespace coriandergate::testing
