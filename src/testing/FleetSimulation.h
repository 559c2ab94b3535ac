// Simulates how the daemons of a large fleet learn the configuration and the list of hosts from the store.
//
// It runs the real StoreView of each host on virtual time, over links of limited rate: one of each host, and one
// between the regions. The store stands in the first region. Daemons can be stopped and started, and the store can
// become unavailable, for all hosts or for some.
//
//   FleetSimulation fleet({ .hosts = 354 });
//   fleet.startAll();
//   fleet.runFor(2500ms);
//   CHECK(fleet.informedShare(1) >= 0.9);
#pragma once

#include "fleet/HostRecord.h"
#include "fleet/StoreView.h"
#include "testing/SimulatedNetwork.h"
#include "testing/SimulatedScheduler.h"
#include "testing/SimulatedStore.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace coriandergate::testing {

// FleetSimulation is used on one thread; a run depends on its options only.
class FleetSimulation {
public:
    struct Options {
        std::size_t hosts = 354;
        std::size_t dataCentresPerRegion = 4; // in each of two regions
        double regionLinkBytesPerSecond = 11'250'000; // in each direction
        double hostLinkBytesPerSecond = 1'500'000; // the slowest hosts of the large deployments
        std::chrono::milliseconds regionDelay { 20 }; // one way
        std::chrono::milliseconds localDelay { 1 };
        std::chrono::milliseconds storeServiceTime { 4 };
        std::chrono::milliseconds startSpread { 300 }; // daemons start within this time
        bool isFirstStart = false; // no host has a row; each writes its own after its target's first heartbeat
        std::chrono::milliseconds heartbeatPeriod { 1500 };
        std::size_t configurationBytes = 15'000; // that of 190 client accounts and 16 routes
        std::uint32_t seed = 1;
    };

    explicit FleetSimulation(const Options& options);
    ~FleetSimulation();

    // startAll() starts every daemon that isn't running; stop() ends the daemons for which `isSelected` returns true.
    auto startAll() -> void;
    auto stop(const std::function<bool(std::size_t host)>& isSelected) -> void;

    // setStoreServes() sets which hosts the store serves; the others get status 503.
    auto setStoreServes(std::function<bool(std::size_t host)> serves) -> void;

    // setStoreIsSilent() sets whether requests to the store end without a response, also those under way.
    auto setStoreIsSilent(bool isSilent) -> void;

    // powerOff() ends the daemons for which `isSelected` returns true; unlike with stop(), nobody is told.
    auto powerOff(const std::function<bool(std::size_t host)>& isSelected) -> void;

    // Impairment is what a host suffers while its daemon runs.
    struct Impairment {
        bool isCutFromHosts = false; // nothing passes between it and other hosts
        bool isCutFromStore = false;
        std::chrono::milliseconds messageDelay { 0 }; // until it handles a message
    };
    auto setImpairment(std::size_t host, const Impairment& impairment) -> void;

    // configure() replaces the configuration row; setState() changes a host's row.
    auto configure() -> void;
    auto setState(std::size_t host, fleet::HostRecord::State state) -> void;

    // restoreStore() puts the store back to its content at the last keepCopy(), as SimulatedStore does, and ends all
    // watches.
    auto keepCopy() -> void { m_store.keepCopy(); }
    auto restoreStore() -> void;

    // stateAtStart() is the state in its own row that a host's daemon learned with the list of hosts when it started.
    [[nodiscard]] auto stateAtStart(std::size_t host) const -> std::optional<fleet::HostRecord::State>;

    auto runFor(std::chrono::milliseconds duration) -> void { m_scheduler.runFor(duration); }

    // informedShare() is the share of a region's hosts that know the newest configuration and all hosts, both fresh.
    [[nodiscard]] auto informedShare(std::size_t region) const -> double;

    // timeUntilInformed() runs until the share of each region is `share`; nothing if that takes longer than `longest`.
    [[nodiscard]] auto timeUntilInformed(double share, std::chrono::milliseconds longest)
        -> std::optional<std::chrono::milliseconds>;

    // uninformedHosts() is the number of running hosts that don't know the newest configuration.
    [[nodiscard]] auto uninformedHosts() const -> std::size_t;

    // knowsOlderConfiguration() returns whether a host's daemon goes by a configuration that is not the newest.
    [[nodiscard]] auto knowsOlderConfiguration(std::size_t host) const -> bool;

    // hostsWatchingConfiguration() returns the hosts whose watches for the configuration are open at the store.
    [[nodiscard]] auto hostsWatchingConfiguration() const -> std::set<std::size_t>;

    [[nodiscard]] auto hostCount() const -> std::size_t { return m_hosts.size(); }
    [[nodiscard]] auto storeRequests() const -> std::uint64_t { return m_storeRequests; }
    // Bytes of responses that crossed from the store's region to the other one.
    [[nodiscard]] auto regionLinkBytes() const -> std::uint64_t { return m_network.carriedBytes(m_regionLink); }
    // Size of the store's responses with both tables.
    [[nodiscard]] auto snapshotBytes() const -> std::size_t;
    // Size of the store's response with the first host rows of a region, which each starting daemon reads.
    [[nodiscard]] auto firstHostsBytes() const -> std::size_t;
    // Size of the store's response without rows.
    [[nodiscard]] static auto emptyResponseBytes() -> std::size_t { return SimulatedStore::s_responseOverhead; }

private:
    struct Host;
    class HostStoreClient;
    class HostRelayTransport;

    // Request is an exchange of a host with the store or with another host. It ends once: with a response, or with a
    // failure when its time is over or one of its ends stops.
    struct Request {
        std::size_t from = 0;
        std::optional<std::size_t> to; // nothing for the store
        bool mayTakeLong = false; // its timeout ends when the response begins
        std::function<void()> fail;
        std::function<void()> abandon; // tells the other host that nobody waits for its response
        Scheduler::Timer timeout = 0;
        SimulatedNetwork::Transfer transfer = 0;
    };
    using RequestId = std::uint64_t;

    static constexpr const char* s_operatorTable = "op";
    static constexpr const char* s_configurationKey = "config";
    static constexpr const char* s_hostTable = "hosts";

    auto startHost(std::size_t index) -> void;
    // connect() gives a host its ways to the store and to other hosts.
    auto connect(std::size_t index) -> void;
    auto writeRow(std::size_t index) -> void;
    auto start(const Request& request, std::chrono::milliseconds timeout) -> RequestId;
    auto respond(RequestId id, std::size_t bytes, std::function<void()> deliver) -> void;
    auto extendTimeout(RequestId id) -> void;
    auto finish(RequestId id) -> void;
    auto failRequest(RequestId id) -> void;
    // A request with a range is a read, else it is a watch.
    auto queryStore(std::size_t host, const fleet::StoreClient::WatchRequest& watch,
        const std::optional<fleet::StoreClient::RangeRequest>& range, fleet::StoreClient::Callback done) -> void;
    auto queryRelay(std::size_t host, const std::string& address, const fleet::RelayWatchRequest& watch,
        std::chrono::milliseconds timeout, fleet::RelayTransport::Callback done) -> void;
    auto handleAtStore(RequestId id, const fleet::StoreClient::WatchRequest& watch,
        const std::optional<fleet::StoreClient::RangeRequest>& range, const fleet::StoreClient::Callback& done) -> void;
    auto endStoreWatch(RequestId id) -> void;
    [[nodiscard]] auto storeTime() const -> std::chrono::milliseconds
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_scheduler.now().time_since_epoch());
    }
    auto put(const std::string& table, const std::string& key, const std::string& value) -> void;
    [[nodiscard]] auto delay(std::size_t from, std::optional<std::size_t> to) const -> std::chrono::milliseconds;
    // arrives() returns whether a message between a host and another one, or the store, gets through now.
    [[nodiscard]] auto arrives(std::size_t host, std::optional<std::size_t> other) const -> bool;
    // With `isNoticed`, those that wait for a host that ends learn it.
    auto end(const std::function<bool(std::size_t host)>& isSelected, bool isNoticed) -> void;
    auto end(std::size_t index, bool isNoticed) -> void;
    [[nodiscard]] auto responsePath(std::optional<std::size_t> from, std::size_t to) const
        -> std::vector<SimulatedNetwork::Link>;
    [[nodiscard]] auto isInformed(const Host& host) const -> bool;

    Options m_options;
    SimulatedScheduler m_scheduler;
    SimulatedNetwork m_network;
    SimulatedNetwork::Link m_regionLink; // from the store's region
    SimulatedNetwork::Link m_reverseRegionLink;
    std::vector<std::unique_ptr<Host>> m_hosts;
    SimulatedStore m_store;
    std::map<RequestId, Request> m_requests;
    std::map<RequestId, std::pair<fleet::StoreClient::WatchRequest, fleet::StoreClient::Callback>> m_storeWatches;
    RequestId m_nextRequest = 1;
    std::uint64_t m_storeRequests = 0;
    std::function<bool(std::size_t host)> m_storeServes;
    bool m_isStoreSilent = false;
    std::minstd_rand m_random;
};

} // namespace coriandergate::testing
