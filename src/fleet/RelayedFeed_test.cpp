#include "fleet/RelayedFeed.h"

#include "base/Hash.h"
#include "fleet/HostDirectory.h"
#include "fleet/NewsCodec.h"
#include "http/Exchange.h"
#include "net/HttpServer.h"
#include "testing/EntryParts.h"
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

    // FakeStore answers what it is told to, when it is told to.
    class FakeStore : public StoreClient {
    public:
        auto read(const std::string&, Callback done) -> void override
        {
            ++calls;
            done(answer);
        }
        auto watch(const WatchRequest&, Callback done) -> void override
        {
            ++calls;
            if (isAway)
                done(StoreFailure { StoreFailure::Kind::NotApplied, { "follow", "store", "status 503" }, {} });
            else
                waiting.push_back(std::move(done));
        }
        auto write(const WriteRequest&, Callback) -> void override { ++calls; }

        auto tell(const StoreResponse& news) -> void
        {
            const auto callbacks = std::move(waiting);
            waiting.clear();
            for (const auto& callback : callbacks)
                callback(news);
        }

        // Ends all open questions without an answer.
        auto fail() -> void
        {
            for (const auto& callback : std::exchange(waiting, {}))
                callback(StoreFailure { StoreFailure::Kind::Unknown, { "follow", "store", "no answer" }, {} });
        }

        StoreResponse answer;
        std::vector<Callback> waiting;
        int calls = 0;
        bool isAway = false;
    };

    // Daemon is the part of a daemon that passes news on.
    struct Daemon {
        Daemon(boost::asio::io_context& io, const std::string& self)
            : name(self)
            , hops(io, {})
            , feed(io, store, hops, { .self = self, .datedTable = "op" })
            , server(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { feed.handle(exchange); })
        {
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
            store.answer = { .newestVersion = 5, .storeTime = 1000ms };
            feed.read("op", [](const StoreClient::Result&) {});
        }

        std::string name;
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
        for (const auto& [host, port] : hosts)
            rows.push_back(testing::makeHostRow(host, port, here, version++));
        directory.apply(rows, true);
        return directory;
    }

    // Of three hosts of a data centre two are relays; which ones the hash says. The third one follows them.
    struct ThreeHosts {
        // `isFollowing`: the relays ask for news, as daemons do.
        explicit ThreeHosts(bool isFollowing = true)
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
                daemon->feed.setHosts(directory, here);
                daemon->feed.setStoreTime([] { return std::optional(1100ms); });
            }
            first = daemons[0].get();
            second = daemons[1].get();
            follower = daemons[2].get();
            if (!isFollowing)
                return;
            follow(*first);
            follow(*second);
            settle();
        }

        // Follows the dated table on and on, as a daemon does.
        auto follow(Daemon& daemon) -> void
        {
            daemon.feed.watch({ "op", 5, 2600ms }, [this, &daemon](const StoreClient::Result& result) {
                if (std::holds_alternative<StoreResponse>(result))
                    follow(daemon);
            });
        }

        // Lets questions arrive.
        auto settle() -> void
        {
            for (int i = 0; i < 20; ++i)
                io.run_one_for(5ms);
        }

        boost::asio::io_context io;
        std::vector<std::unique_ptr<Daemon>> daemons;
        Daemon* first = nullptr; // of the relays
        Daemon* second = nullptr;
        Daemon* follower = nullptr;
    };

} // namespace

TEST_CASE("one host of a data centre follows the store, the others follow it or the relay beside it")
{
    ThreeHosts hosts;
    CHECK(hosts.first->store.waiting.size() == 1);
    CHECK(hosts.second->store.waiting.empty());
    hosts.follow(*hosts.follower);
    hosts.settle();
    CHECK(hosts.follower->store.waiting.empty());
}

TEST_CASE("the second relay takes the first one's place once that fails")
{
    ThreeHosts hosts;
    SECTION("it is gone") { hosts.first->server.finishDrain(); }
    SECTION("the store doesn't serve it") { hosts.first->store.fail(); }
    REQUIRE(runUntil(hosts.io, [&] { return hosts.second->store.waiting.size() == 1; }));
    // Who follows the second one hears on.
    std::optional<StoreResponse> heard;
    hosts.follower->feed.watch({ "op", 5, 1500ms }, [&](const StoreClient::Result& result) {
        if (const auto* answer = std::get_if<StoreResponse>(&result))
            heard = *answer;
    });
    const auto askedAt = hosts.follower->store.calls;
    for (int i = 0; i < 100 && !heard; ++i) {
        hosts.settle();
        hosts.second->store.tell({ .newestVersion = 5, .storeTime = 1050ms + i * 1ms });
    }
    REQUIRE(heard);
    CHECK(heard->isPassedOn);
    CHECK(hosts.follower->store.calls == askedAt);
}

TEST_CASE("news is passed on when the relay hears it, and when the store confirms that there is none")
{
    ThreeHosts hosts;
    std::optional<StoreResponse> heard;
    hosts.follower->feed.watch({ "op", 5, 1500ms }, [&](StoreClient::Result result) {
        if (auto* answer = std::get_if<StoreResponse>(&result))
            heard = *answer;
    });
    // Let the question arrive.
    for (int i = 0; i < 20; ++i)
        hosts.io.run_one_for(5ms);
    const bool hasChange = GENERATE(false, true);
    StoreResponse news { .newestVersion = hasChange ? 6U : 5U, .storeTime = 1050ms };
    if (hasChange)
        news.rows.push_back({ "config", "text", 6, false });
    hosts.first->store.tell(news); // the follower may have asked the second one, which follows the first
    REQUIRE(runUntil(hosts.io, [&] { return heard.has_value(); }));
    CHECK(heard->isPassedOn);
    CHECK(heard->storeTime == 1050ms);
    CHECK(heard->newestVersion == news.newestVersion);
    CHECK(heard->rows == news.rows);
}

TEST_CASE("relays that are gone are left for the store")
{
    ThreeHosts hosts;
    for (auto* relay : { hosts.first, hosts.second })
        relay->server.finishDrain();
    const int before = hosts.follower->store.calls;
    int answers = 0;
    hosts.follower->feed.watch({ "op", 5, 50ms }, [&](const StoreClient::Result&) { ++answers; });
    CHECK(hosts.follower->store.calls == before); // the relays come first
    REQUIRE(runUntil(hosts.io, [&] { return hosts.follower->store.calls == before + 1; }));
    CHECK(answers == 0); // the same question goes on at the store
    hosts.follower->feed.watch({ "op", 5, 500ms }, [](const StoreClient::Result&) {});
    CHECK(hosts.follower->store.calls == before + 2); // at once: the relays aren't tried again so soon
}

TEST_CASE("a host whose news is old asks the store itself")
{
    ThreeHosts hosts;
    hosts.follower->feed.setStoreTime([] { return std::optional(9000ms); });
    const int before = hosts.follower->store.calls;
    hosts.follower->feed.watch({ "op", 5, 50ms }, [](const StoreClient::Result&) {});
    CHECK(hosts.follower->store.calls == before + 1);
}

TEST_CASE("news doesn't grow old behind a relay whose store is silent")
{
    ThreeHosts hosts;
    const auto start = std::chrono::steady_clock::now();
    const auto sinceStart = [start] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
    };
    for (const auto& daemon : hosts.daemons)
        daemon->feed.setStoreTime([sinceStart] { return std::optional(1000ms + sinceStart()); });
    std::function<void()> follow = [&] {
        hosts.follower->feed.watch({ "op", 5, 2600ms }, [&](const StoreClient::Result&) { follow(); });
    };
    const int before = hosts.follower->store.calls;
    follow();
    // A configuration must be in force 2.5 s after the store confirmed it; the rest is for the store's answer.
    while (hosts.follower->store.calls == before && sinceStart() < 2300ms)
        hosts.io.run_one_for(20ms);
    CHECK(hosts.follower->store.calls == before + 1);
}

TEST_CASE("one relay that is gone costs no call of the store")
{
    ThreeHosts hosts;
    hosts.first->server.finishDrain();
    const int before = hosts.follower->store.calls;
    for (int i = 0; i < 6; ++i) {
        bool isAnswered = false;
        hosts.follower->feed.watch({ "op", 5, 20ms },
            [&](const StoreClient::Result& result) { isAnswered = std::holds_alternative<StoreResponse>(result); });
        REQUIRE(runUntil(hosts.io, [&] { return isAnswered; }));
    }
    CHECK(hosts.follower->store.calls == before);
}

TEST_CASE("a relay that the store doesn't serve follows the other one")
{
    ThreeHosts hosts;
    auto* cutOff = hosts.first;
    auto* other = hosts.second;
    cutOff->store.isAway = true;
    cutOff->store.fail();
    bool hasFailedTwice = false;
    cutOff->feed.watch({ "op", 5, 100ms },
        [&](const StoreClient::Result& result) { hasFailedTwice = std::holds_alternative<StoreFailure>(result); });
    REQUIRE(hasFailedTwice);
    const int before = cutOff->store.calls;
    std::optional<StoreResponse> heard;
    // Also the quick question after a failure: the store is left alone for a while.
    cutOff->feed.watch({ "op", 5, GENERATE(0ms, 1000ms) }, [&](const StoreClient::Result& result) {
        if (const auto* answer = std::get_if<StoreResponse>(&result))
            heard = *answer;
    });
    for (int i = 0; i < 20; ++i)
        hosts.io.run_one_for(5ms);
    other->store.tell({ .rows = { { "config", "text", 6, false } }, .newestVersion = 6, .storeTime = 1050ms });
    REQUIRE(runUntil(hosts.io, [&] { return heard.has_value(); }));
    CHECK(heard->isPassedOn);
    CHECK(cutOff->store.calls == before);
}

TEST_CASE("a store that cut every host's question is asked again at once")
{
    ThreeHosts hosts;
    for (auto* relay : { hosts.first, hosts.second }) {
        hosts.first->server.finishDrain(); // so that the second one asks the store too
        hosts.settle();
        relay->store.isAway = true;
        relay->feed.watch({ "op", 5, 1200ms }, [](const StoreClient::Result&) {});
        relay->feed.watch({ "hosts", 5, 15000ms }, [](const StoreClient::Result&) {});
        relay->store.isAway = false;
        const int before = relay->store.calls;
        relay->feed.watch({ "op", 5, 0ms }, [](const StoreClient::Result&) {});
        CHECK(relay->store.calls == before + 1);
    }
}

TEST_CASE("while no relay has fresh news the store is asked, however often it failed")
{
    ThreeHosts hosts;
    auto* cutOff = hosts.first;
    cutOff->store.isAway = true;
    for (int i = 0; i < 3; ++i)
        cutOff->feed.watch({ "op", 5, 0ms }, [](const StoreClient::Result&) {});
    cutOff->feed.setStoreTime([] { return std::optional(9000ms); });
    const int before = cutOff->store.calls;
    cutOff->feed.watch({ "op", 5, 1200ms }, [](const StoreClient::Result&) {});
    // The other relay is asked without a wait, its news is old too, and the same question goes on.
    REQUIRE(runUntil(hosts.io, [&] { return cutOff->store.calls == before + 1; }));
}

TEST_CASE("relays that follow each other don't confirm old news to each other")
{
    ThreeHosts hosts(false);
    int answers = 0;
    std::function<void(Daemon&)> follow = [&](Daemon& relay) {
        relay.feed.watch({ "op", 5, 300ms }, [&](const StoreClient::Result& result) {
            answers += std::holds_alternative<StoreResponse>(result) ? 1 : 0;
            follow(relay);
        });
    };
    for (auto* relay : { hosts.first, hosts.second }) {
        relay->store.isAway = true;
        for (int i = 0; i < 2; ++i)
            relay->feed.watch({ "op", 5, 0ms }, [](const StoreClient::Result&) {});
        follow(*relay);
    }
    const auto end = std::chrono::steady_clock::now() + 1s;
    while (std::chrono::steady_clock::now() < end)
        hosts.io.run_one_for(20ms);
    CHECK(answers <= 2 * 4); // each waits for its 300 ms
}

TEST_CASE("without a relay of its own data centre a host follows one of the region's others")
{
    ThreeHosts hosts;
    auto elsewhere = here;
    elsewhere.dataCentre = "west-b";
    std::vector<std::pair<std::string, std::uint16_t>> known;
    for (const auto& daemon : hosts.daemons)
        known.emplace_back(daemon->name, daemon->server.port());
    const auto directory = makeDirectory(known);
    Daemon lone(hosts.io, "10.1.0.9");
    lone.feed.setHosts(directory, elsewhere);
    const int before = lone.store.calls;
    std::optional<StoreResponse> heard;
    lone.feed.watch({ "op", 5, 20ms }, [&](const StoreClient::Result& result) {
        if (const auto* answer = std::get_if<StoreResponse>(&result))
            heard = *answer;
    });
    REQUIRE(runUntil(hosts.io, [&] { return heard.has_value(); }));
    CHECK(lone.store.calls == before);
}

TEST_CASE("a question that mustn't wait goes to the store")
{
    ThreeHosts hosts;
    const int before = hosts.follower->store.calls;
    hosts.follower->feed.watch({ "op", 5, 0ms }, [](const StoreClient::Result&) {});
    CHECK(hosts.follower->store.calls == before + 1);
}

TEST_CASE("rows that went while a relay heard nothing are passed on as removed")
{
    ThreeHosts hosts;
    auto* relay = hosts.first;
    relay->store.answer = { .rows = { { "a", "1", 6, false }, { "b", "1", 7, false } }, .newestVersion = 7 };
    relay->feed.read("hosts", [](const StoreClient::Result&) {});
    relay->store.answer = { .rows = { { "b", "1", 7, false } }, .newestVersion = 9 };
    relay->feed.read("hosts", [](const StoreClient::Result&) {});
    std::optional<StoreResponse> heard;
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
