#include "fleet/RelayedStoreClient.h"

#include "base/Hash.h"
#include "fleet/HostDirectory.h"
#include "fleet/HttpRelayTransport.h"
#include "fleet/RelayWatchCodec.h"
#include "fleet/StoreVersion.h"
#include "http/Exchange.h"
#include "net/AsioScheduler.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "testing/EntryFixture.h"
#include "testing/RunUntil.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <utility>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

using testing::runUntil;

namespace {

    const Locality here { "west", "west-a" };

    // FakeStore responds with the data and at the time that the test chooses.
    class FakeStore : public StoreClient {
    public:
        auto read(const std::string&, Callback done) -> void override
        {
            ++calls;
            done(readResponse);
        }
        auto readRange(const RangeRequest&, Callback done) -> void override { done(StoreResponse {}); }
        auto watch(const WatchRequest&, Callback done) -> void override
        {
            ++calls;
            if (isUnavailable)
                done(StoreFailure { StoreFailure::Kind::NotApplied, { "watch", "store", "status 503" }, {} });
            else
                pendingWatches.push_back(std::move(done));
        }
        auto write(const WriteRequest&, Callback) -> void override { ++calls; }

        auto respond(const StoreResponse& response) -> void
        {
            const auto callbacks = std::move(pendingWatches);
            pendingWatches.clear();
            for (const auto& callback : callbacks)
                callback(response);
        }

        // Fails all pending watches without a response.
        auto fail() -> void
        {
            for (const auto& callback : std::exchange(pendingWatches, {}))
                callback(StoreFailure { StoreFailure::Kind::Unknown, { "watch", "store", "no response" }, {} });
        }

        StoreResponse readResponse;
        std::vector<Callback> pendingWatches;
        int calls = 0;
        bool isUnavailable = false;
    };

    // Daemon is the part of a daemon that relays rows.
    struct Daemon {
        Daemon(boost::asio::io_context& io, const std::string& hostKey)
            : name(hostKey)
            , scheduler(io)
            , relayClient(io, {})
            , transport(relayClient)
            , client(scheduler, store, transport, { .hostKey = hostKey, .freshnessTable = "op" })
            , server(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { client.handle(exchange); })
        {
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
            store.readResponse = { .newestVersion = 5, .storeTime = 1000ms };
            client.read("op", [](const StoreClient::Result&) {});
        }

        std::string name;
        FakeStore store;
        net::AsioScheduler scheduler;
        net::HttpClient relayClient;
        HttpRelayTransport transport;
        RelayedStoreClient client;
        net::HttpServer server;
    };

    auto makeDirectory(const std::vector<std::pair<std::string, std::uint16_t>>& hosts) -> HostDirectory
    {
        HostDirectory directory;
        std::vector<StoreRow> rows;
        std::uint64_t version = 1;
        for (const auto& [host, port] : hosts)
            rows.push_back(testing::makeHostRow(host, port, here, version++));
        directory.apply(rows, true);
        return directory;
    }

    // Two of the three hosts in a data centre are relays, chosen by hash. The third one watches through them.
    struct ThreeHosts {
        // If `isWatching`, the relays watch the table continuously, as daemons do.
        explicit ThreeHosts(bool isWatching = true)
        {
            std::vector<std::string> names { "10.1.0.1", "10.1.0.2", "10.1.0.3" };
            std::sort(names.begin(), names.end(),
                [](const std::string& left, const std::string& right) { return hashOf(left) > hashOf(right); });
            std::vector<std::pair<std::string, std::uint16_t>> hosts;
            for (const auto& name : names) {
                daemons.push_back(std::make_unique<Daemon>(io, name));
                hosts.emplace_back(name, daemons.back()->server.port());
            }
            const auto directory = makeDirectory(hosts);
            for (const auto& daemon : daemons) {
                daemon->client.setHosts(directory, here);
                daemon->client.setStoreClock([] { return std::optional(1100ms); });
            }
            primary = daemons[0].get();
            secondary = daemons[1].get();
            nonRelay = daemons[2].get();
            if (!isWatching)
                return;
            watch(*primary);
            watch(*secondary);
            processEvents();
        }

        // Watches the freshness table continuously, as a daemon does.
        auto watch(Daemon& daemon) -> void
        {
            daemon.client.watch({ "op", 5, 2600ms }, [this, &daemon](const StoreClient::Result& result) {
                if (std::holds_alternative<StoreResponse>(result))
                    watch(daemon);
            });
        }

        // Lets requests arrive.
        auto processEvents() -> void
        {
            for (int i = 0; i < 20; ++i)
                io.run_one_for(5ms);
        }

        boost::asio::io_context io;
        std::vector<std::unique_ptr<Daemon>> daemons;
        Daemon* primary = nullptr; // relay
        Daemon* secondary = nullptr; // relay
        Daemon* nonRelay = nullptr;
    };

} // namespace

TEST_CASE("only the primary relay watches the store, and the other hosts watch through relays")
{
    ThreeHosts hosts;
    CHECK(hosts.primary->store.pendingWatches.size() == 1);
    CHECK(hosts.secondary->store.pendingWatches.empty());
    hosts.watch(*hosts.nonRelay);
    hosts.processEvents();
    CHECK(hosts.nonRelay->store.pendingWatches.empty());
}

TEST_CASE("the secondary relay watches the store when the primary fails")
{
    ThreeHosts hosts;
    SECTION("the primary is unreachable") { hosts.primary->server.finishDrain(); }
    SECTION("the store doesn't serve the primary") { hosts.primary->store.fail(); }
    REQUIRE(runUntil(hosts.io, [&] { return hosts.secondary->store.pendingWatches.size() == 1; }));
    // A host that watches through the secondary keeps receiving responses.
    std::optional<StoreResponse> received;
    hosts.nonRelay->client.watch({ "op", 5, 1500ms }, [&](const StoreClient::Result& result) {
        if (const auto* response = std::get_if<StoreResponse>(&result))
            received = *response;
    });
    const auto callsBefore = hosts.nonRelay->store.calls;
    for (int i = 0; i < 100 && !received; ++i) {
        hosts.processEvents();
        hosts.secondary->store.respond({ .newestVersion = 5, .storeTime = 1050ms + i * 1ms });
    }
    REQUIRE(received);
    CHECK(received->isRelayed);
    CHECK(hosts.nonRelay->store.calls == callsBefore);
}

TEST_CASE("a relay responds when rows change and when the store confirms that none did")
{
    ThreeHosts hosts;
    std::optional<StoreResponse> received;
    hosts.nonRelay->client.watch({ "op", 5, 1500ms }, [&](StoreClient::Result result) {
        if (auto* response = std::get_if<StoreResponse>(&result))
            received = *response;
    });
    // Let the request arrive.
    for (int i = 0; i < 20; ++i)
        hosts.io.run_one_for(5ms);
    const bool hasChange = GENERATE(false, true);
    StoreResponse response { .newestVersion = hasChange ? 6U : 5U, .storeTime = 1050ms };
    if (hasChange)
        response.rows.push_back({ "config", "text", 6, false });
    // nonRelay watches through the primary, or through the secondary, which watches through the primary.
    hosts.primary->store.respond(response);
    REQUIRE(runUntil(hosts.io, [&] { return received.has_value(); }));
    CHECK(received->isRelayed);
    CHECK(received->storeTime == 1050ms);
    CHECK(received->newestVersion == response.newestVersion);
    CHECK(received->rows == response.rows);
}

TEST_CASE("a relay that read a restored store's table anew sends all of its rows to watches from the earlier era")
{
    ThreeHosts hosts;
    std::optional<StoreResponse> received;
    hosts.nonRelay->client.watch({ "op", 5, 1500ms }, [&](StoreClient::Result result) {
        if (auto* response = std::get_if<StoreResponse>(&result))
            received = *response;
    });
    hosts.processEvents();
    const StoreRow row { "config", "text", makeVersion(1, 4), false };
    hosts.primary->store.readResponse = { .rows = { row }, .newestVersion = makeVersion(1, 5), .storeTime = 1050ms };
    hosts.primary->client.read("op", [](const StoreClient::Result&) {});
    REQUIRE(runUntil(hosts.io, [&] { return received.has_value(); }));
    CHECK(received->isSnapshot);
    CHECK(received->rows == std::vector<StoreRow> { row });
    CHECK(hosts.nonRelay->client.era() == 1);
}

// Guards against rows and proofs of freshness of a relay that hasn't noticed the restore.
TEST_CASE("a relay of an earlier era isn't used by a host that knows the later one")
{
    ThreeHosts hosts;
    int rises = 0;
    hosts.nonRelay->client.onEraRose([&] { ++rises; });
    hosts.nonRelay->store.readResponse = { .newestVersion = makeVersion(1, 5), .storeTime = 1000ms };
    hosts.nonRelay->client.read("op", [](const StoreClient::Result&) {});
    CHECK(rises == 1);
    bool isDone = false;
    hosts.nonRelay->client.watch(
        { "op", makeVersion(1, 5), 2600ms }, [&](const StoreClient::Result&) { isDone = true; });
    int confirmations = 0;
    REQUIRE(runUntil(hosts.io, [&] {
        hosts.primary->store.respond({ .newestVersion = 6, .storeTime = 1050ms + ++confirmations * 1ms });
        return !hosts.nonRelay->store.pendingWatches.empty();
    }));
    CHECK_FALSE(isDone);
}

// Guards against a withdrawn key that works again beside a daemon that read the restored configuration.
TEST_CASE(
    "older content of a restored row doesn't replace the known one, for this host and for those that copy from it")
{
    ThreeHosts hosts;
    auto& client = hosts.primary->client;
    client.setIsOutdated([](const StoreRow& received, const StoreRow& known) { return received.value < known.value; });
    auto& readResponse = hosts.primary->store.readResponse;
    const auto readValue = [&](std::uint64_t version, const std::string& value) -> std::string {
        readResponse
            = { .rows = { { "config", value, version, false } }, .newestVersion = version, .storeTime = 1060ms };
        std::string result;
        client.read(
            "op", [&](const StoreClient::Result& done) { result = std::get<StoreResponse>(done).rows[0].value; });
        return result;
    };
    CHECK(readValue(6, "r2") == "r2");
    CHECK(readValue(makeVersion(1, 4), "r1") == "r2");
    CHECK(readValue(makeVersion(1, 4), "r1") == "r2"); // also when it is read again
    CHECK(readValue(makeVersion(1, 7), "r3") == "r3");
}

TEST_CASE("a host whose relays are unreachable watches the store")
{
    ThreeHosts hosts;
    for (auto* relay : { hosts.primary, hosts.secondary })
        relay->server.finishDrain();
    const int callsBefore = hosts.nonRelay->store.calls;
    int responses = 0;
    hosts.nonRelay->client.watch({ "op", 5, 50ms }, [&](const StoreClient::Result&) { ++responses; });
    CHECK(hosts.nonRelay->store.calls == callsBefore); // the relays are tried first
    REQUIRE(runUntil(hosts.io, [&] { return hosts.nonRelay->store.calls == callsBefore + 1; }));
    CHECK(responses == 0); // the same watch continues at the store
    hosts.nonRelay->client.watch({ "op", 5, 500ms }, [](const StoreClient::Result&) {});
    CHECK(hosts.nonRelay->store.calls == callsBefore + 2); // immediately, because the relays are in backoff
}

TEST_CASE("a host whose rows are too old watches the store")
{
    ThreeHosts hosts;
    hosts.nonRelay->client.setStoreClock([] { return std::optional(9000ms); });
    const int callsBefore = hosts.nonRelay->store.calls;
    hosts.nonRelay->client.watch({ "op", 5, 50ms }, [](const StoreClient::Result&) {});
    CHECK(hosts.nonRelay->store.calls == callsBefore + 1);
}

TEST_CASE("a host whose relay gets no response from the store watches the store before its rows are too old")
{
    ThreeHosts hosts;
    const auto start = std::chrono::steady_clock::now();
    const auto sinceStart = [start] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
    };
    for (const auto& daemon : hosts.daemons)
        daemon->client.setStoreClock([sinceStart] { return std::optional(1000ms + sinceStart()); });
    std::function<void()> watch = [&] {
        hosts.nonRelay->client.watch({ "op", 5, 2600ms }, [&](const StoreClient::Result&) { watch(); });
    };
    const int callsBefore = hosts.nonRelay->store.calls;
    watch();
    // A configuration must be in force 2.5 s after the store confirmed it; the rest is for the store's response.
    while (hosts.nonRelay->store.calls == callsBefore && sinceStart() < 2300ms)
        hosts.io.run_one_for(20ms);
    CHECK(hosts.nonRelay->store.calls == callsBefore + 1);
}

TEST_CASE("one unreachable relay causes no request to the store")
{
    ThreeHosts hosts;
    hosts.primary->server.finishDrain();
    const int callsBefore = hosts.nonRelay->store.calls;
    for (int i = 0; i < 6; ++i) {
        bool hasResponse = false;
        hosts.nonRelay->client.watch({ "op", 5, 20ms },
            [&](const StoreClient::Result& result) { hasResponse = std::holds_alternative<StoreResponse>(result); });
        REQUIRE(runUntil(hosts.io, [&] { return hasResponse; }));
    }
    CHECK(hosts.nonRelay->store.calls == callsBefore);
}

TEST_CASE("a relay that the store doesn't serve watches through the other relay")
{
    ThreeHosts hosts;
    auto* relayWithoutStore = hosts.primary;
    auto* other = hosts.secondary;
    relayWithoutStore->store.isUnavailable = true;
    relayWithoutStore->store.fail();
    bool hasFailedTwice = false;
    relayWithoutStore->client.watch({ "op", 5, 100ms },
        [&](const StoreClient::Result& result) { hasFailedTwice = std::holds_alternative<StoreFailure>(result); });
    REQUIRE(hasFailedTwice);
    const int callsBefore = relayWithoutStore->store.calls;
    std::optional<StoreResponse> received;
    // This holds for the immediate request after a failure too: the store is in backoff.
    relayWithoutStore->client.watch({ "op", 5, GENERATE(0ms, 1000ms) }, [&](const StoreClient::Result& result) {
        if (const auto* response = std::get_if<StoreResponse>(&result))
            received = *response;
    });
    for (int i = 0; i < 20; ++i)
        hosts.io.run_one_for(5ms);
    other->store.respond({ .rows = { { "config", "text", 6, false } }, .newestVersion = 6, .storeTime = 1050ms });
    REQUIRE(runUntil(hosts.io, [&] { return received.has_value(); }));
    CHECK(received->isRelayed);
    CHECK(relayWithoutStore->store.calls == callsBefore);
}

TEST_CASE("after the store closed the requests of all hosts, they are retried at the store immediately")
{
    ThreeHosts hosts;
    for (auto* relay : { hosts.primary, hosts.secondary }) {
        hosts.primary->server.finishDrain(); // so that the secondary watches the store too
        hosts.processEvents();
        relay->store.isUnavailable = true;
        relay->client.watch({ "op", 5, 1200ms }, [](const StoreClient::Result&) {});
        relay->client.watch({ "hosts", 5, 15000ms }, [](const StoreClient::Result&) {});
        relay->store.isUnavailable = false;
        const int callsBefore = relay->store.calls;
        relay->client.watch({ "op", 5, 0ms }, [](const StoreClient::Result&) {});
        CHECK(relay->store.calls == callsBefore + 1);
    }
}

TEST_CASE("while no relay has recent rows, requests go to the store despite its backoff")
{
    ThreeHosts hosts;
    auto* relayWithoutStore = hosts.primary;
    relayWithoutStore->store.isUnavailable = true;
    for (int i = 0; i < 3; ++i)
        relayWithoutStore->client.watch({ "op", 5, 0ms }, [](const StoreClient::Result&) {});
    relayWithoutStore->client.setStoreClock([] { return std::optional(9000ms); });
    const int callsBefore = relayWithoutStore->store.calls;
    relayWithoutStore->client.watch({ "op", 5, 1200ms }, [](const StoreClient::Result&) {});
    // The request to the other relay doesn't wait; its rows are too old as well, so the same watch continues at the
    // store.
    REQUIRE(runUntil(hosts.io, [&] { return relayWithoutStore->store.calls == callsBefore + 1; }));
}

// Guards against relays without the store that wait for each other's rows, which none of them gets: both asked the
// store again only after both waits, and their hosts went by an older configuration meanwhile.
TEST_CASE("relays that the store doesn't serve don't wait at each other, and go on asking the store")
{
    ThreeHosts hosts(false);
    constexpr auto pause = 50ms; // TableWatcher's is longer
    int responses = 0;
    std::function<void(Daemon&)> watch = [&](Daemon& relay) {
        relay.client.watch({ "op", 5, 300ms }, [&](const StoreClient::Result& result) {
            responses += std::holds_alternative<StoreResponse>(result) ? 1 : 0;
            relay.scheduler.runAfter(pause, [&] { watch(relay); });
        });
    };
    for (auto* relay : { hosts.primary, hosts.secondary }) {
        relay->store.isUnavailable = true;
        for (int i = 0; i < 2; ++i)
            relay->client.watch({ "op", 5, 0ms }, [](const StoreClient::Result&) {});
        watch(*relay);
    }
    const auto end = std::chrono::steady_clock::now() + 1s;
    while (std::chrono::steady_clock::now() < end)
        hosts.io.run_one_for(20ms);
    CHECK(responses == 0); // the old rows are confirmed to nobody
    for (const auto* relay : { hosts.primary, hosts.secondary })
        CHECK(relay->store.calls >= 3 + 5); // a wait of 300 ms each would allow 3
}

// Guards against a processor that is kept busy by connections that are refused at once.
TEST_CASE("a host that waits for the store asks relays that are gone with pauses")
{
    ThreeHosts hosts;
    for (auto* relay : { hosts.primary, hosts.secondary })
        relay->server.finishDrain();
    hosts.processEvents();
    auto& host = *hosts.nonRelay;
    host.store.isUnavailable = true;
    int failures = 0;
    for (int i = 0; i < 2; ++i)
        host.client.watch({ "op", 5, 0ms }, [&](const StoreClient::Result&) { ++failures; });
    REQUIRE(runUntil(hosts.io, [&] { return failures == 2; }));
    const auto connectionsBefore = host.relayClient.connectionsOpened();
    const int callsBefore = host.store.calls;
    host.client.watch({ "op", 5, 1000ms }, [](const StoreClient::Result&) {});
    const auto end = std::chrono::steady_clock::now() + 1s;
    while (std::chrono::steady_clock::now() < end)
        hosts.io.run_one_for(20ms);
    const auto connections = host.relayClient.connectionsOpened() - connectionsBefore;
    CHECK(connections >= 2);
    CHECK(connections <= 2 * 5); // each relay once in 300 ms, and once before
    CHECK(host.store.calls == callsBefore);
}

TEST_CASE("a host without a relay in its data centre watches through a relay of another one in the region")
{
    ThreeHosts hosts;
    auto otherDataCentre = here;
    otherDataCentre.dataCentre = "west-b";
    std::vector<std::pair<std::string, std::uint16_t>> known;
    for (const auto& daemon : hosts.daemons)
        known.emplace_back(daemon->name, daemon->server.port());
    const auto directory = makeDirectory(known);
    Daemon otherHost(hosts.io, "10.1.0.9");
    otherHost.client.setHosts(directory, otherDataCentre);
    const int callsBefore = otherHost.store.calls;
    std::optional<StoreResponse> received;
    otherHost.client.watch({ "op", 5, 20ms }, [&](const StoreClient::Result& result) {
        if (const auto* response = std::get_if<StoreResponse>(&result))
            received = *response;
    });
    REQUIRE(runUntil(hosts.io, [&] { return received.has_value(); }));
    CHECK(otherHost.store.calls == callsBefore);
}

TEST_CASE("a watch that doesn't wait goes to the store")
{
    ThreeHosts hosts;
    const int callsBefore = hosts.nonRelay->store.calls;
    hosts.nonRelay->client.watch({ "op", 5, 0ms }, [](const StoreClient::Result&) {});
    CHECK(hosts.nonRelay->store.calls == callsBefore + 1);
}

TEST_CASE("rows removed while a relay received no changes are relayed as removed")
{
    ThreeHosts hosts;
    auto* relay = hosts.primary;
    relay->store.readResponse = { .rows = { { "a", "1", 6, false }, { "b", "1", 7, false } }, .newestVersion = 7 };
    relay->client.read("hosts", [](const StoreClient::Result&) {});
    relay->store.readResponse = { .rows = { { "b", "1", 7, false } }, .newestVersion = 9 };
    relay->client.read("hosts", [](const StoreClient::Result&) {});
    std::optional<StoreResponse> received;
    net::HttpClient client(hosts.io, {});
    client.send("127.0.0.1:" + std::to_string(relay->server.port()), encodeRelayWatchRequest({ "hosts", 7, 500ms }),
        { .timeout = 1s }, [&](net::HttpClient::Result result) {
            Error reason;
            if (const auto* answer = std::get_if<http::Answer>(&result))
                received = decodeRelayWatchResponse(answer->body, reason);
        });
    REQUIRE(runUntil(hosts.io, [&] { return received.has_value(); }));
    REQUIRE(received->rows.size() == 1);
    CHECK(received->rows[0].key == "a");
    CHECK(received->rows[0].isRemoved);
}

} // namespace coriandergate::fleet
