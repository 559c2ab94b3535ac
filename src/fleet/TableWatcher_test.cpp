#include "fleet/TableWatcher.h"

#include "net/AsioScheduler.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

namespace {

    // ScriptedStore keeps each request until the test responds to it.
    class ScriptedStore : public StoreClient {
    public:
        auto read(const std::string&, Callback done) -> void override { reads.push_back(std::move(done)); }
        auto readRange(const RangeRequest&, Callback done) -> void override { done(StoreResponse {}); }
        auto watch(const WatchRequest& watch, Callback done) -> void override
        {
            watches.emplace_back(watch, std::move(done));
        }
        auto write(const WriteRequest&, Callback) -> void override { }

        auto respondToRead(StoreClient::Result result) -> void
        {
            const auto callback = std::move(reads.front());
            reads.erase(reads.begin());
            callback(std::move(result));
        }
        auto respondToWatch(StoreClient::Result result) -> void
        {
            const auto callback = std::move(watches.front().second);
            watches.erase(watches.begin());
            callback(std::move(result));
        }

        std::vector<Callback> reads;
        std::vector<std::pair<WatchRequest, Callback>> watches;
    };

    struct WatcherFixture {
        WatcherFixture()
        {
            watcher.onRows([this](const std::vector<StoreRow>& rows, bool isSnapshot) {
                receivedRows.insert(receivedRows.end(), rows.begin(), rows.end());
                snapshots += isSnapshot ? 1 : 0;
            });
            watcher.start();
            store.respondToRead(StoreResponse { .newestVersion = 10 });
            runUntil([this] { return store.watches.size() == 1; });
        }

        template <typename Condition> auto runUntil(const Condition& isTrue) -> bool
        {
            return testing::runUntil(io, isTrue);
        }

        boost::asio::io_context io;
        net::AsioScheduler scheduler { io };
        ScriptedStore store;
        TableWatcher watcher { scheduler, store,
            { .table = "hosts", .pollTime = 2s, .changeDelay = 10ms, .initialRetryDelay = 10ms } };
        std::vector<StoreRow> receivedRows;
        int snapshots = 0;
    };

    auto makeFailure(StoreFailure::Kind kind) -> StoreFailure { return { kind, { "watch", "store", "test" }, {} }; }

} // namespace

TEST_CASE("changed rows are reported, and the next watch starts at the newest version")
{
    WatcherFixture fixture;
    CHECK(fixture.store.watches[0].first.after == 10);
    fixture.store.respondToWatch(StoreResponse { .rows = { { "a", "1", 12, false } }, .newestVersion = 12 });
    REQUIRE(fixture.runUntil([&] { return fixture.store.watches.size() == 1; }));
    CHECK(fixture.store.watches[0].first.after == 12);
    CHECK(fixture.receivedRows.size() == 1);
}

TEST_CASE("the first watch after a failure doesn't wait for a change")
{
    WatcherFixture fixture;
    fixture.store.respondToWatch(makeFailure(StoreFailure::Kind::NotApplied));
    REQUIRE(fixture.runUntil([&] { return fixture.store.watches.size() == 1; }));
    CHECK(fixture.store.watches[0].first.wait == 0ms);
    fixture.store.respondToWatch(StoreResponse { .newestVersion = 10 });
    REQUIRE(fixture.runUntil([&] { return fixture.store.watches.size() == 1; }));
    CHECK(fixture.store.watches[0].first.wait == 2s);
}

TEST_CASE("after a truncated history the table is read again")
{
    WatcherFixture fixture;
    fixture.store.respondToWatch(makeFailure(StoreFailure::Kind::HistoryTruncated));
    REQUIRE(fixture.runUntil([&] { return fixture.store.reads.size() == 1; }));
    fixture.store.respondToRead(StoreResponse { .rows = { { "a", "1", 30, false } }, .newestVersion = 40 });
    CHECK(fixture.snapshots == 2);
    REQUIRE(fixture.runUntil([&] { return fixture.store.watches.size() == 1; }));
    CHECK(fixture.store.watches[0].first.after == 40);
}

// Guards against ignoring a truncated history that only the catch-up request reports, because the long poll goes
// through a relay: hosts rejected all requests with API keys for nine seconds.
TEST_CASE("catching up after a truncated history reads the table and starts no second long poll")
{
    WatcherFixture fixture;
    fixture.watcher.catchUp();
    REQUIRE(fixture.store.watches.size() == 2);
    std::swap(fixture.store.watches[0], fixture.store.watches[1]);
    fixture.store.respondToWatch(makeFailure(StoreFailure::Kind::HistoryTruncated));
    REQUIRE(fixture.store.reads.size() == 1);
    fixture.store.respondToRead(StoreResponse { .rows = { { "a", "1", 30, false } }, .newestVersion = 40 });
    CHECK(fixture.watcher.observedVersion() == 40);
    CHECK(fixture.receivedRows.size() == 1);
    CHECK_FALSE(fixture.runUntil([&] { return fixture.store.watches.size() > 1; }));
}

} // namespace coriandergate::fleet
