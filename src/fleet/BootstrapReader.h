// Reads whole tables for a starting daemon: from peers that already have them where possible, else from the store.
//
// See BootstrapPeers for why and from whom. One small read of the first host rows of the region precedes the first
// table. A peer that is still starting itself holds the request until it has the table. A list of hosts
// that is older than the daemon is completed by the store, so that the daemon knows the newest row of its own host.
//
// A store that was ever restored from an older copy may hold an older configuration than the one that other daemons
// received. Before the operators' table is read, two peers are then asked for their rows of it, of any age, which the
// user of this class compares.
//
// Load pattern of the first start of a whole deployment: no host has a row, so there is nobody to copy from, and every
// daemon would read and watch the store itself. Instead the list of hosts begins as a partial, empty one. The other
// tables wait until the list is read again and finds the rows that the hosts have written by then.
//
//   BootstrapReader reader(scheduler, store, transport, { .hostKey = key, .region = "far", .hostTable = "hosts" });
//   reader.onClock([&](const StoreResponse& response) { freshness.recordClock(...); });
//   reader.read("op", [](StoreClient::Result result) { ... });
#pragma once

#include "base/Scheduler.h"
#include "fleet/BootstrapPeers.h"
#include "fleet/StoreClient.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace coriandergate::fleet {

class EraCheckedStore;
class RelayTransport;

// BootstrapReader is used on the thread of its scheduler. The scheduler, the store and the transport outlive it.
class BootstrapReader {
public:
    struct Options {
        std::string hostKey; // of this host's row
        std::string region; // of this host
        std::string hostTable;
        std::string operatorTable;
        std::size_t firstHosts = 16; // rows of the region that are read first; each of them serves some others
        // How long a peer may hold a request until it has the table: the time of two reads over a loaded link.
        std::chrono::milliseconds copyWait { 900 };
        std::chrono::milliseconds copyTimeout { 1600 }; // until the copy begins, and between its parts
        bool isFirstStart = false; // of the whole deployment
        // A region whose first hosts all joined within this time may still be at its first start.
        std::chrono::milliseconds maximumFirstStartAge { 5000 };
        std::chrono::milliseconds maximumAge { 1900 }; // of a copy, by the store's clock
        // The list of hosts is large, and its copy may be under way for longer. A watch brings it up to date.
        std::chrono::milliseconds maximumHostListAge { 4400 };
        std::chrono::milliseconds retryDelay { 200 }; // daemons that start together are up within twice this time
        std::size_t consultedPeers = 2; // so that one may be unreachable
        std::chrono::milliseconds consultTimeout { 400 }; // a connection and a response over a loaded link
        BootstrapPeers::Options peers;
        std::uint32_t randomSeed = std::random_device {}();
    };
    using ClockCallback = std::function<void(const StoreResponse& response)>;
    using KnownRowsCallback = std::function<void(const std::string& table, StoreResponse rows)>;

    BootstrapReader(Scheduler& scheduler, EraCheckedStore& store, RelayTransport& transport, const Options& options);
    ~BootstrapReader();
    BootstrapReader(const BootstrapReader&) = delete;
    auto operator=(const BootstrapReader&) -> BootstrapReader& = delete;

    // onClock() sets what is called with the store's first response, which relates its clock to this host's one.
    auto onClock(ClockCallback callback) -> void { m_clockCallback = std::move(callback); }

    // onKnownRows() sets what is called with the rows that a consulted peer knows. They prove nothing.
    auto onKnownRows(KnownRowsCallback callback) -> void { m_knownRowsCallback = std::move(callback); }

    // setStoreClock() sets the function that reads the store's clock; copies are dated by it.
    auto setStoreClock(std::function<std::optional<std::chrono::milliseconds>()> storeClock) -> void
    {
        m_storeClock = std::move(storeClock);
    }

    // read() calls `done` once, later, with all rows of `table`. A failure means that the store doesn't respond.
    auto read(const std::string& table, StoreClient::Callback done) -> void;

private:
    struct PendingRead {
        std::string table;
        StoreClient::Callback done;
    };

    auto readFirstHosts() -> void;
    auto giveEmptyHostList(const StoreResponse& response) -> void;
    auto setFirstHosts(const std::vector<BootstrapPeers::Peer>& firstHosts) -> void;
    auto onFirstHosts(StoreClient::Result result) -> void;
    auto consultPeers() -> void;
    auto onConsulted() -> void;
    auto startPendingReads() -> void;
    // readFromStore() asks the other hosts before it returns the operators' rows of a store that was restored since
    // they were asked.
    auto readFromStore(const std::string& table, StoreClient::Callback done) -> void;
    auto copyOrRead(const std::string& table, const BootstrapPeers& peers, const StoreClient::Callback& done) -> void;
    auto onCopied(const std::string& table, StoreResponse copy, const StoreClient::Callback& done) -> void;
    [[nodiscard]] static auto merge(StoreResponse copy, StoreResponse changes) -> StoreResponse;
    [[nodiscard]] auto isRecent(const std::string& table, const StoreResponse& copy) const -> bool;

    Scheduler& m_scheduler;
    EraCheckedStore& m_store;
    RelayTransport& m_transport;
    Options m_options;
    ClockCallback m_clockCallback;
    KnownRowsCallback m_knownRowsCallback;
    std::function<std::optional<std::chrono::milliseconds>()> m_storeClock;
    std::vector<PendingRead> m_pendingReads; // wait for the first hosts
    std::chrono::milliseconds m_startStoreTime { 0 }; // of the store's first response
    bool m_isRequestingFirstHosts = false;
    bool m_hasWaitedForHosts = false; // of the first start
    std::optional<BootstrapPeers> m_peers; // once the first hosts are known
    std::vector<std::string> m_consultedAddresses;
    std::size_t m_openConsultations = 0;
    std::uint64_t m_consultedEra = 0; // up to which the store's rows may be used without asking again
    std::vector<std::function<void()>> m_heldResults; // until the consulted peers have responded
    std::minstd_rand m_random;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace coriandergate::fleet
