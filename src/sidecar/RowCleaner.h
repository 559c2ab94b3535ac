// Removes rows from the store's list of hosts: of hosts that are gone, and of what has expired.
//
//   RowCleaner cleaner(io, storeView, loadBalancer, { .table = "hosts", .hostKey = key, .locality = here });
//   cleaner.start();
#pragma once

#include "base/Locality.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace coriandergate::dispatch {
class LoadBalancer;
}

namespace coriandergate::fleet {
struct HostRecord;
class StoreView;
}

namespace coriandergate::sidecar {

// RowCleaner is used on the thread of its io_context; the view and the balancer outlive it.
class RowCleaner {
public:
    struct Options {
        std::string table; // of the hosts
        std::string hostKey; // of this host
        Locality locality;
    };

    RowCleaner(
        boost::asio::io_context& io, fleet::StoreView& view, const dispatch::LoadBalancer& balancer, Options options);

    // start() checks the rows now and then until stop().
    auto start() -> void;
    auto stop() -> void;

private:
    auto removeUnreachableHosts() -> void;
    auto removeExpiredRows() -> void;
    [[nodiscard]] auto remainingRow(const fleet::HostRecord& record) const -> std::optional<std::string>;
    auto replaceRow(const std::string& key, const std::optional<std::string>& value) -> void;

    fleet::StoreView& m_view;
    const dispatch::LoadBalancer& m_balancer;
    Options m_options;
    boost::asio::steady_timer m_timer;
    std::minstd_rand m_random { std::random_device {}() };
    bool m_isStopped = false;
};

} // namespace coriandergate::sidecar
