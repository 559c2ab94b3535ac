// Follows the store through another daemon where that saves calls of the store, which are charged.
//
// In each data centre a few hosts, found by hashing over the list of hosts, are relays. The first of them follows the
// store; the other relays follow it and take its place once it fails; the other hosts follow one of the relays, which
// answers at once when something changed or its own news was confirmed. An answer that was passed on proves only the
// store's time that stands in it. A relay that fails is replaced by another one, of the data centre or else of the
// region; when none answers with fresh news the store is asked. A relay that the store doesn't serve follows the others
// meanwhile.
//
//   RelayedFeed feed(io, store, hops, { .self = "10.1.0.11", .datedTable = "op" });
//   feed.setHosts(directory, locality);
//   feed.watch(...);                              // as of any StoreClient
//   feed.handle(exchange);                         // questions of other daemons
#pragma once

#include "base/Locality.h"
#include "fleet/StoreClient.h"
#include "net/HttpClient.h"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::fleet {

class HostDirectory;

// RelayedFeed is used on the thread of its io_context. The store and the client outlive it.
class RelayedFeed : public StoreClient {
public:
    struct Options {
        std::string self; // key of this host
        std::string datedTable; // whose news is passed on each time it is confirmed, changed or not
        std::size_t relaysOfDataCentre = 2; // so that one can be out of reach
        std::chrono::milliseconds relayWait { 1200 }; // one long poll of a relay for the dated table
        std::chrono::milliseconds answerTime { 200 }; // by which a relay's confirmed news may come later than that
        std::chrono::milliseconds hopTime { 300 }; // for its answer to come
        std::chrono::milliseconds shortestQuestion { 100 }; // two ways between regions, and some
        // News of the dated table that grows older than this is asked for at the store itself: a configuration must be
        // in force everywhere 2.5 s after the store confirmed it, and the store's answer takes its time.
        std::chrono::milliseconds oldestNews { 1900 };
        std::chrono::milliseconds relayBackoff { 3000 }; // a relay that failed isn't asked for so long
        std::size_t failuresToLeaveStore = 2; // in a row; after them the store isn't asked either
        std::chrono::milliseconds storeBackoff { 3000 }; // for so long, while a relay has news
    };

    RelayedFeed(boost::asio::io_context& io, StoreClient& store, net::HttpClient& hops, const Options& options);

    // setHosts() takes over the hosts, and which of them share this one's data centre.
    auto setHosts(const HostDirectory& directory, const Locality& here) -> void;

    // setStoreTime() tells how to read the store's clock.
    auto setStoreTime(std::function<std::optional<std::chrono::milliseconds>()> storeTime) -> void;

    auto read(const std::string& table, Callback done) -> void override;
    auto watch(const WatchRequest& watch, Callback done) -> void override;
    auto write(const WriteRequest& write, Callback done) -> void override;

    // handle() answers another daemon's question for news.
    auto handle(const std::shared_ptr<http::Exchange>& exchange) -> void;

private:
    // Table is what a relay keeps of one table to pass on.
    struct Table {
        std::map<std::string, StoreRow> rows;
        std::uint64_t newestVersion = 0;
        std::chrono::milliseconds storeTime { 0 };
        std::uint64_t confirmations = 0; // answers so far that were newer, by the store's clock, than those before
        bool isKnown = false;
    };

    // Waiting is another daemon's question.
    struct Waiting {
        std::string table;
        std::uint64_t after = 0;
        std::uint64_t confirmations = 0; // when it was asked
        std::shared_ptr<http::Exchange> exchange;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };

    // Relay is a daemon that passes news on.
    struct Relay {
        std::string host;
        std::string address;
    };

    [[nodiscard]] auto isRelay() const -> bool;
    [[nodiscard]] auto isUsable(const Relay& relay, MonotonicTime now) const -> bool;
    // firstRelay() is the one that the data centre's others wait for; null if none is known.
    [[nodiscard]] auto firstRelay(MonotonicTime now) const -> const Relay*;
    [[nodiscard]] auto chooseRelay(MonotonicTime now) -> std::optional<Relay>;
    [[nodiscard]] auto chooseOf(const std::vector<Relay>& relays, MonotonicTime now) -> std::optional<Relay>;
    auto followStore(const WatchRequest& watch, Callback done) -> void;
    auto followRelay(const Relay& relay, const WatchRequest& watch, Callback done) -> void;
    auto onRelayFailed(const Relay& relay, const Error& reason, const WatchRequest& watch, Callback done) -> void;
    auto noteStore(const std::string& table, const Result& result) -> void;
    [[nodiscard]] auto isStoreAway(MonotonicTime now) const -> bool;
    [[nodiscard]] auto timeToOldNews(const WatchRequest& watch) const -> std::chrono::milliseconds;
    auto remember(const std::string& table, const StoreResponse& answer, bool isWhole) -> void;
    static auto markMissing(Table& table, const StoreResponse& whole) -> void;
    [[nodiscard]] auto hasNewsFor(const Table& table, const Waiting& waiting) const -> bool;
    auto wakeWaiting(const std::string& table) -> void;
    auto refuseWaiting(const std::string& table) -> void;
    auto answerFrom(const Table& table, std::uint64_t after, const std::shared_ptr<http::Exchange>& exchange) -> void;

    boost::asio::io_context& m_io;
    StoreClient& m_store;
    net::HttpClient& m_hops;
    Options m_options;
    std::function<std::optional<std::chrono::milliseconds>()> m_storeTime;
    std::vector<Relay> m_relays; // of this data centre
    std::vector<Relay> m_fartherRelays; // of the region's other data centres
    std::map<std::string, MonotonicTime> m_avoidUntil; // relays, by host
    std::size_t m_storeFailures = 0; // in a row
    MonotonicTime m_avoidStoreUntil;
    std::map<std::string, Table> m_tables;
    std::list<Waiting> m_waiting;
    std::minstd_rand m_random { std::random_device {}() };
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace coriandergate::fleet
