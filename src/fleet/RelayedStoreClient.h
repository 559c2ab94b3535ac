// Watches the store through other daemons, the relays, because every request to the store is charged.
//
// In each data centre some hosts, chosen by hashing the list of hosts, are relays: about as many as each of them then
// serves. The first of them is its primary, and the first primary of a region watches the store. The other primaries
// watch through that one, the other relays of a data centre through its primary; each replaces the one before it when
// that fails. All other hosts watch through one of the relays, which responds as soon as rows changed or the store
// confirmed that none did. A relayed response is only as recent as the store time that it contains. A relay that fails
// is replaced by another one of the data centre or else of the region; if no relay responds with recent rows, the host
// watches the store itself. A relay that the store doesn't serve watches through the relays that it does serve; it
// holds no watch of another relay in the meantime, since relays that wait for each other's rows would not ask the
// store. Rows of an earlier era of the store (EraCheckedStore) count as no response; a response that leaves the era of
// a watch has all rows.
//
// Load pattern of an outage: no relay has recent rows, so every host would ask the store, again and again. Once the
// store has failed a host too, the host waits at a relay, and only the first relays keep asking the store.
//
//   RelayedStoreClient client(scheduler, store, transport, { .hostKey = "10.1.0.11", .freshnessTable = "op" });
//   client.setHosts(directory, locality);
//   client.watch(...);                             // as with any StoreClient
//   client.handle(exchange);                       // watch requests of other daemons
#pragma once

#include "base/Locality.h"
#include "base/Scheduler.h"
#include "fleet/BootstrapReader.h"
#include "fleet/EraCheckedStore.h"
#include "fleet/HeldWatches.h"
#include "fleet/RelayTransport.h"
#include "fleet/StoreBackoff.h"
#include "fleet/StoreClient.h"
#include "fleet/TableCache.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::fleet {

class HostDirectory;

// RelayedStoreClient is used on the thread of its scheduler. The store and the transport outlive it.
class RelayedStoreClient : public StoreClient {
public:
    struct Options {
        std::string hostKey; // of this host in the host directory
        std::string region; // of this host; if empty, tables are always read from the store
        std::string hostTable = "hosts";
        bool isFirstStart = false; // of the whole deployment
        // How long the list of hosts then remains empty, at most. Targets send a heartbeat every 1.5 to 2 s.
        std::chrono::milliseconds firstHostsDelay { 2500 };
        std::string freshnessTable; // its age is bounded, so relays also send confirmations that nothing changed
        // Relays of a data centre that may watch the store itself. Two, so that one may be unreachable.
        std::size_t storeWatchersPerDataCentre = 2;
        std::chrono::milliseconds relayPollTime { 1200 }; // long poll of a relay for the freshness table
        std::chrono::milliseconds relayPollMargin { 200 }; // how much later a relay's confirmation may arrive
        std::chrono::milliseconds responseTimeout { 300 }; // for a relay's response after the poll
        std::chrono::milliseconds minimumTimeout { 100 }; // a round trip between regions plus a margin
        // Maximum age of the freshness table before it is requested from the store itself. A configuration must be in
        // force everywhere 2.5 s after the store confirmed it; the rest is for the store's response.
        std::chrono::milliseconds maximumAge { 1900 };
        std::chrono::milliseconds relayBackoff { 3000 }; // how long a failed relay gets no requests
        StoreBackoff::Options storeBackoff; // watches go to relays meanwhile
        // How soon a host that waits for the store asks a relay again that failed, from its last request on.
        std::chrono::milliseconds outagePause { 300 };
        std::uint32_t randomSeed = std::random_device {}(); // of the choice among relays
    };

    RelayedStoreClient(Scheduler& scheduler, StoreClient& store, RelayTransport& transport, const Options& options);
    ~RelayedStoreClient() override;
    RelayedStoreClient(const RelayedStoreClient&) = delete;
    auto operator=(const RelayedStoreClient&) -> RelayedStoreClient& = delete;

    // onClock() sets what is called with a response of the store that only relates its clock to this host's one.
    auto onClock(BootstrapReader::ClockCallback callback) -> void;

    // onEraRose() sets what is called when the store came back from an older copy; era() is its latest known era.
    auto onEraRose(std::function<void()> callback) -> void { m_store.onEraRose(std::move(callback)); }
    [[nodiscard]] auto era() const -> std::uint64_t { return m_store.era(); }

    // setIsOutdated() keeps known content of the freshness table's rows in place of older content that a restored store
    // returns.
    auto setIsOutdated(TableCache::IsOutdated isOutdated) -> void { m_isOutdated = std::move(isOutdated); }

    // setHosts() updates the relays from the list of hosts and this host's locality.
    auto setHosts(const HostDirectory& directory, const Locality& here) -> void;

    // setStoreClock() sets the function that reads the store's clock.
    auto setStoreClock(std::function<std::optional<std::chrono::milliseconds>()> storeClock) -> void;

    auto read(const std::string& table, Callback done) -> void override;
    auto readRange(const RangeRequest& range, Callback done) -> void override;
    auto watch(const WatchRequest& watch, Callback done) -> void override;
    auto write(const WriteRequest& write, Callback done) -> void override;

    // recordUnchanged() records that the rows of `table` are also those of `version`, as of `storeTime`.
    auto recordUnchanged(const std::string& table, std::uint64_t version, std::chrono::milliseconds storeTime) -> void
    {
        m_tables[table].recordUnchanged(version, storeTime);
    }

    // handle() responds to another daemon's watch request. Any daemon gives a snapshot, but only relays respond to
    // watches, because the others may have no recent rows.
    auto handle(const std::shared_ptr<http::Exchange>& exchange) -> void;

private:
    // DelayedWatch is a watch of this host that waits for the list of hosts, and with it for the relays.
    struct DelayedWatch {
        WatchRequest request;
        Callback done;
    };

    // Relay is a daemon that sends the store's rows to other daemons.
    struct Relay {
        std::string host;
        std::string address;
    };

    // PauseEnds tells by host until when a relay that failed gets no requests.
    using PauseEnds = std::map<std::string, MonotonicTime>;

    [[nodiscard]] auto relaysFor(std::size_t hosts) const -> std::size_t; // of a data centre with so many hosts
    [[nodiscard]] static auto contains(const std::vector<Relay>& relays, const std::string& host) -> bool;
    [[nodiscard]] auto isRelay() const -> bool;
    [[nodiscard]] auto isStoreWatcher() const -> bool;
    [[nodiscard]] auto isUsable(const Relay& relay, const PauseEnds& pauses, MonotonicTime now) const -> bool;
    // firstUsable() returns the first relay that is this host or may get requests; null if there is none.
    [[nodiscard]] auto firstUsable(const std::vector<Relay>& relays, MonotonicTime now) const -> const Relay*;
    // primaryRelay() returns the relay that the other relays of the data centre watch through; null if none is usable.
    [[nodiscard]] auto primaryRelay(MonotonicTime now) const -> const Relay* { return firstUsable(m_relays, now); }
    // regionalPrimary() returns the relay that the region's other primary relays watch through; null if none is usable.
    [[nodiscard]] auto regionalPrimary(MonotonicTime now) const -> const Relay*
    {
        return firstUsable(m_storeWatchers, now);
    }
    [[nodiscard]] auto chooseRelay(MonotonicTime now) -> std::optional<Relay>;
    // isWaitingForStore() tells whether this host leaves it to the first relays to ask a store that doesn't respond.
    [[nodiscard]] auto isWaitingForStore(MonotonicTime now) const -> bool;
    // chooseForOutage() returns a relay to wait at meanwhile; nothing if each of them has just failed.
    [[nodiscard]] auto chooseForOutage(MonotonicTime now) -> std::optional<Relay>;
    [[nodiscard]] auto chooseAmong(const std::vector<Relay>& relays, const PauseEnds& pauses, MonotonicTime now)
        -> std::optional<Relay>;
    auto watchStore(const WatchRequest& watch, Callback done) -> void;
    auto watchRelay(const Relay& relay, const WatchRequest& watch, bool canOutliveOutage, Callback done) -> void;
    auto watchForOutage(WatchRequest watch, Callback done) -> void;
    auto onRelayFailed(const Relay& relay, const Error& reason, const WatchRequest& watch, SuspendAwareTime sentAt,
        Callback done) -> void;
    auto recordStoreResult(const std::string& table, MonotonicTime sentAt, const Result& result) -> void;
    [[nodiscard]] auto timeUntilStale(const WatchRequest& watch) const -> std::chrono::milliseconds;
    // updateCache() also replaces outdated content in `response`.
    auto updateCache(const std::string& table, StoreResponse& response, bool isSnapshot) -> void;
    auto readFromStore(const std::string& table, Callback done) -> void;
    auto onRead(const std::string& table, Result& result) -> void;
    auto delay(const WatchRequest& watch, Callback done) -> void;
    auto startDelayedWatches() -> void;
    auto watchFirstHosts(Callback done) -> void;
    // canBeCopied() returns whether the table is complete and recent enough for a starting daemon.
    [[nodiscard]] auto canBeCopied(const std::string& table) const -> bool;
    [[nodiscard]] auto hasUpdateFor(const TableCache& table, const HeldWatches::Watch& watch) const -> bool;
    auto respondToHeldWatches(const std::string& table) -> void;
    auto rejectHeldWatches(const std::string& table) -> void;
    auto onHeldWatchTimeout(const HeldWatches::Watch& watch) -> void;
    static auto respondFrom(
        const TableCache& table, std::uint64_t after, const std::shared_ptr<http::Exchange>& exchange) -> void;

    Scheduler& m_scheduler;
    EraCheckedStore m_store;
    RelayTransport& m_transport;
    Options m_options;
    TableCache::IsOutdated m_isOutdated;
    std::function<std::optional<std::chrono::milliseconds>()> m_storeClock;
    std::optional<BootstrapReader> m_bootstrapReader; // for the first read of each table
    bool m_areHostsKnown = false;
    bool m_isHostListPartial = false; // at the first start of the deployment
    std::vector<DelayedWatch> m_delayedWatches;
    std::vector<Relay> m_relays; // of this data centre
    std::vector<Relay> m_regionRelays; // of the region's other data centres
    std::vector<Relay> m_storeWatchers; // of the region, in the order in which they become the regional primary
    PauseEnds m_relayBackoffUntil;
    PauseEnds m_outagePauseUntil;
    std::set<std::string> m_servingRelays; // hosts that have responded
    std::set<std::string> m_tablesWithLostRelay; // one of these failed, and no response came since
    StoreBackoff m_storeBackoff;
    std::map<std::string, TableCache> m_tables;
    HeldWatches m_heldWatches; // of other daemons
    std::minstd_rand m_random;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace coriandergate::fleet
