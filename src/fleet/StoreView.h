// What one daemon knows from the store: the operators' rows, the list of hosts, and how old both are.
//
// It watches both tables through RelayedStoreClient. A response on one table dates the other one too if it proves that
// table unchanged.
//
//   StoreView view(scheduler, store, transport, { .hostKey = key, .locality = here, .operatorTable = "op" });
//   view.onOperatorRows([&](const std::vector<StoreRow>& rows, bool isSnapshot) { ... });
//   view.onHostsChanged([&](const std::vector<Error>& faults) { balancer.setTargets(view.directory().targets()); });
//   view.start();
#pragma once

#include "dispatch/StalenessTracker.h"
#include "fleet/HostDirectory.h"
#include "fleet/RelayedStoreClient.h"
#include "fleet/TableWatcher.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace coriandergate::fleet {

// StoreView is used on the thread of its scheduler. The scheduler, the store and the transport outlive it.
class StoreView {
public:
    struct Options {
        std::string hostKey; // of this host in the host directory
        Locality locality;
        std::string operatorTable;
        std::string hostTable = "hosts";
        std::chrono::milliseconds maximumAge { 4400 }; // of a response that counts as fresh
        bool isFirstStart = false; // of the whole deployment
        std::uint32_t randomSeed = std::random_device {}();
    };
    // OperatorRowsCallback receives the changed rows, or, with `isSnapshot`, all rows of the table.
    using OperatorRowsCallback = std::function<void(const std::vector<StoreRow>& rows, bool isSnapshot)>;
    // HostsCallback receives the rows that could not be decoded and were skipped.
    using HostsCallback = std::function<void(const std::vector<Error>& faults)>;
    using ResponseCallback = std::function<void()>;
    using FailureCallback = std::function<void(const Error& error)>;

    StoreView(Scheduler& scheduler, StoreClient& store, RelayTransport& transport, const Options& options);

    auto onOperatorRows(OperatorRowsCallback callback) -> void { m_operatorRowsCallback = std::move(callback); }
    auto onHostsChanged(HostsCallback callback) -> void { m_hostsCallback = std::move(callback); }
    // The response and failure callbacks report on the operators' table.
    auto onResponse(ResponseCallback callback) -> void { m_responseCallback = std::move(callback); }
    auto onFailure(FailureCallback callback) -> void { m_operatorWatcher.onFailure(std::move(callback)); }

    // onEraRose() sets what is called when the store came back from an older copy, before its rows are received.
    auto onEraRose(std::function<void()> callback) -> void { m_client.onEraRose(std::move(callback)); }

    auto start() -> void;
    auto stop() -> void;

    [[nodiscard]] auto client() -> RelayedStoreClient& { return m_client; }
    [[nodiscard]] auto era() const -> std::uint64_t { return m_client.era(); }
    [[nodiscard]] auto directory() const -> const HostDirectory& { return m_directory; }
    [[nodiscard]] auto areHostsLoaded() const -> bool { return m_areHostsLoaded; }
    [[nodiscard]] auto operatorFreshness() const -> const dispatch::StalenessTracker& { return m_operatorFreshness; }
    [[nodiscard]] auto hostListFreshness() const -> const dispatch::StalenessTracker& { return m_hostListFreshness; }
    [[nodiscard]] auto operatorFreshness() -> dispatch::StalenessTracker& { return m_operatorFreshness; }
    [[nodiscard]] auto hostListFreshness() -> dispatch::StalenessTracker& { return m_hostListFreshness; }

private:
    auto onOperatorResponse(const StoreResponse& response) -> void;
    auto onHostsResponse(const StoreResponse& response) -> void;
    auto onHostRows(const std::vector<StoreRow>& rows, bool isSnapshot) -> void;

    Scheduler& m_scheduler;
    Options m_options;
    HostDirectory m_directory;
    RelayedStoreClient m_client;
    TableWatcher m_operatorWatcher;
    TableWatcher m_hostWatcher;
    dispatch::StalenessTracker m_operatorFreshness;
    dispatch::StalenessTracker m_hostListFreshness;
    OperatorRowsCallback m_operatorRowsCallback;
    HostsCallback m_hostsCallback;
    ResponseCallback m_responseCallback;
    bool m_areOperatorRowsLoaded = false;
    bool m_areHostsLoaded = false;
};

} // namespace coriandergate::fleet
