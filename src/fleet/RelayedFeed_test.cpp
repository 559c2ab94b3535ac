#include "fleet/RelayedFeed.h"

#include "fleet/HostDirectory.h"
#include "fleet/NewsCodec.h"
#include "http/Exchange.h"
#include "net/HttpServer.h"

#include <catch2/catch.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

namespace {

    const Locality here { "west", "west-a" };

    // FakeStore answers what it is told to, when it is told to.
    class FakeStore : public StoreFeed {
    public:
        auto read(const std::string&, Callback done) -> void override
        {
            ++calls;
            done(answer);
        }
        auto follow(const Follow&, Callback done) -> void override
        {
            ++calls;
            waiting.push_back(std::move(done));
        }
        auto write(const Write&, Callback) -> void override { ++calls; }

        auto tell(const StoreAnswer& news) -> void
        {
            const auto callbacks = std::move(waiting);
            waiting.clear();
            for (const auto& callback : callbacks)
                callback(news);
        }

        StoreAnswer answer;
        std::vector<Callback> waiting;
        int calls = 0;
    };

    // Daemon is the part of a daemon that passes news on.
    struct Daemon {
        Daemon(boost::asio::io_context& io, const std::string& self)
            : hops(io, {})
            , feed(io, store, hops, { .self = self, .datedTable = "op" })
            , server(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { feed.handle(exchange); })
        {
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
            store.answer = { .newestVersion = 5, .storeTime = 1000ms };
            feed.read("op", [](const StoreFeed::Result&) {});
        }

        FakeStore store;
        net::HttpClient hops;
        RelayedFeed feed;
        net::HttpServer server;
    };

    auto makeDirectory(const std::vector<std::pair<std::string, std::uint16_t>>& hosts) -> HostDirectory
    {
        HostDirectory directory;
        std::vector<StoreRow> rows;
        std::uint64_t version = 1;
        for (const auto& [host, port] : hosts) {
            HostRecord record;
            record.peerAddress = "127.0.0.1:" + std::to_string(port);
            record.locality = here;
            record.service = "ledger";
            rows.push_back({ host, encodeHostRecord(record), version++, false });
        }
        directory.apply(rows, true);
        return directory;
    }

    // Runs the loop until `isTrue` or two seconds have passed.
    template <typename Condition> auto runUntil(boost::asio::io_context& io, const Condition& isTrue) -> bool
    {
        const auto end = std::chrono::steady_clock::now() + 2s;
        while (!isTrue() && std::chrono::steady_clock::now() < end)
            io.run_one_for(20ms);
        return isTrue();
    }

    // Of three hosts of a data centre two are relays; which ones the hash says. The third one follows them.
    struct ThreeHosts {
        ThreeHosts()
        {
            for (const auto* name : { "10.1.0.1", "10.1.0.2", "10.1.0.3" })
                daemons.emplace(name, std::make_unique<Daemon>(io, name));
            std::vector<std::pair<std::string, std::uint16_t>> hosts;
            for (const auto& [name, daemon] : daemons)
                hosts.emplace_back(name, daemon->server.port());
            const auto directory = makeDirectory(hosts);
            for (const auto& [name, daemon] : daemons) {
                daemon->feed.setHosts(directory, here);
                daemon->feed.setStoreTime([] { return std::optional(1100ms); });
            }
            for (const auto& [name, daemon] : daemons) {
                const int before = daemon->store.calls;
                // A relay's question stays open at the fake store beyond this scope.
                const auto isAnswered = std::make_shared<bool>(false);
                daemon->feed.follow({ "op", 5, 20ms }, [isAnswered](const StoreFeed::Result&) { *isAnswered = true; });
                if (daemon->store.calls == before)
                    follower = daemon.get();
                else
                    relays.push_back(daemon.get());
                // A question that is still open when a relay goes would end as a failure of its own in the test.
                if (daemon->store.calls == before)
                    REQUIRE(runUntil(io, [isAnswered] { return *isAnswered; }));
            }
        }

        boost::asio::io_context io;
        std::map<std::string, std::unique_ptr<Daemon>> daemons;
        Daemon* follower = nullptr;
        std::vector<Daemon*> relays;
    };

} // namespace

TEST_CASE("two hosts of a data centre follow the store, the others follow them")
{
    ThreeHosts hosts;
    REQUIRE(hosts.follower);
    CHECK(hosts.relays.size() == 2);
}

TEST_CASE("news is passed on when the relay hears it, and when the store confirms that there is none")
{
    ThreeHosts hosts;
    REQUIRE(hosts.follower);
    std::optional<StoreAnswer> heard;
    hosts.follower->feed.follow({ "op", 5, 1500ms }, [&](StoreFeed::Result result) {
        if (auto* answer = std::get_if<StoreAnswer>(&result))
            heard = *answer;
    });
    // Let the question arrive.
    for (int i = 0; i < 20; ++i)
        hosts.io.run_one_for(5ms);
    const bool hasChange = GENERATE(false, true);
    StoreAnswer news { .newestVersion = hasChange ? 6U : 5U, .storeTime = 1050ms };
    if (hasChange)
        news.rows.push_back({ "config", "text", 6, false });
    for (auto* relay : hosts.relays)
        relay->store.tell(news);
    REQUIRE(runUntil(hosts.io, [&] { return heard.has_value(); }));
    CHECK(heard->isPassedOn);
    CHECK(heard->storeTime == 1050ms);
    CHECK(heard->newestVersion == news.newestVersion);
    CHECK(heard->rows == news.rows);
}

TEST_CASE("a relay that is gone, or has only old news, is left for the store")
{
    ThreeHosts hosts;
    REQUIRE(hosts.follower);
    const bool isGone = GENERATE(true, false);
    if (isGone) {
        for (auto* relay : hosts.relays)
            relay->server.finishDrain();
    } else {
        hosts.follower->feed.setStoreTime([] { return std::optional(9000ms); });
    }
    int failures = 0;
    const int before = hosts.follower->store.calls;
    for (int i = 0; i < 2; ++i) {
        hosts.follower->feed.follow({ "op", 5, 50ms },
            [&](const StoreFeed::Result& result) { failures += std::holds_alternative<StoreFailure>(result) ? 1 : 0; });
        REQUIRE(runUntil(hosts.io, [&] { return failures == i + 1; }));
    }
    hosts.follower->feed.follow({ "op", 5, 500ms }, [](const StoreFeed::Result&) {});
    CHECK(hosts.follower->store.calls == before + 1);
}

TEST_CASE("a question that mustn't wait goes to the store")
{
    ThreeHosts hosts;
    REQUIRE(hosts.follower);
    const int before = hosts.follower->store.calls;
    hosts.follower->feed.follow({ "op", 5, 0ms }, [](const StoreFeed::Result&) {});
    CHECK(hosts.follower->store.calls == before + 1);
}

TEST_CASE("rows that went while a relay heard nothing are passed on as removed")
{
    ThreeHosts hosts;
    REQUIRE(hosts.follower);
    auto* relay = hosts.relays.front();
    relay->store.answer = { .rows = { { "a", "1", 6, false }, { "b", "1", 7, false } }, .newestVersion = 7 };
    relay->feed.read("hosts", [](const StoreFeed::Result&) {});
    relay->store.answer = { .rows = { { "b", "1", 7, false } }, .newestVersion = 9 };
    relay->feed.read("hosts", [](const StoreFeed::Result&) {});
    std::optional<StoreAnswer> heard;
    net::HttpClient client(hosts.io, {});
    client.send("127.0.0.1:" + std::to_string(relay->server.port()), encodeNewsAsk({ "hosts", 7, 500ms }),
        { .timeout = 1s }, [&](net::HttpClient::Result result) {
            Error reason;
            if (const auto* answer = std::get_if<http::Answer>(&result))
                heard = decodeNews(answer->body, reason);
        });
    REQUIRE(runUntil(hosts.io, [&] { return heard.has_value(); }));
    REQUIRE(heard->rows.size() == 1);
    CHECK(heard->rows[0].key == "a");
    CHECK(heard->rows[0].isRemoved);
}

} // namespace coriandergate::fleet
