// Removes rows from the store's list of hosts: of hosts that are gone, and of what has expired. It also writes the
// drains of other hosts' targets again that a restored store lost, because their daemons may have been restarted
// meanwhile.
//
//   RowCleaner cleaner(io, storeView, loadBalancer, { .table = "hosts", .hostKey = key, .locality = here });
//   cleaner.start();
#pragma once

#include "base/Locality.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
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

    // onHostsChanged() is called after each change of the directory.
    auto onHostsChanged() -> void;

    // drainsWrittenAgain() is the number of drains of other hosts' targets that were written again.
    [[nodiscard]] auto drainsWrittenAgain() const -> std::uint64_t { return m_drainsWrittenAgain; }

private:
    [[nodiscard]] auto mustRestore(const std::string& host) const -> bool;
    auto restoreLostDrains() -> void;
    auto removeUnreachableHosts() -> void;
    auto removeExpiredRows() -> void;
    [[nodiscard]] auto remainingRow(const fleet::HostRecord& record) const -> std::optional<std::string>;
    auto replaceRow(const std::string& key, const std::optional<std::string>& value) -> void;

    fleet::StoreView& m_view;
    const dispatch::LoadBalancer& m_balancer;
    Options m_options;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_restoreTimer;
    std::uint64_t m_drainsWrittenAgain = 0;
    bool m_isRestoreScheduled = false;
    std::minstd_rand m_random { std::random_device {}() };
    bool m_isStopped = false;
};

} // namespace coriandergate::sidecar
