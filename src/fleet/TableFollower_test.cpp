#include "fleet/TableFollower.h"

#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

namespace {

    // ScriptedFeed keeps every question until the test answers it.
    class ScriptedFeed : public StoreClient {
    public:
        auto read(const std::string&, Callback done) -> void override { reads.push_back(std::move(done)); }
        auto watch(const WatchRequest& watch, Callback done) -> void override
        {
            follows.emplace_back(watch, std::move(done));
        }
        auto write(const WriteRequest&, Callback) -> void override { }

        auto answerRead(StoreClient::Result result) -> void
        {
            const auto callback = std::move(reads.front());
            reads.erase(reads.begin());
            callback(std::move(result));
        }
        auto answerFollow(StoreClient::Result result) -> void
        {
            const auto callback = std::move(follows.front().second);
            follows.erase(follows.begin());
            callback(std::move(result));
        }

        std::vector<Callback> reads;
        std::vector<std::pair<WatchRequest, Callback>> follows;
    };

    struct Following {
        Following()
        {
            follower.onRows([this](const std::vector<StoreRow>& rows, bool isWhole) {
                heard.insert(heard.end(), rows.begin(), rows.end());
                wholes += isWhole ? 1 : 0;
            });
            follower.start();
            feed.answerRead(StoreResponse { .newestVersion = 10 });
            runUntil([this] { return feed.follows.size() == 1; });
        }

        template <typename Condition> auto runUntil(const Condition& isTrue) -> bool
        {
            return testing::runUntil(io, isTrue);
        }

        boost::asio::io_context io;
        ScriptedFeed feed;
        TableFollower follower { io, feed, { .table = "hosts", .wait = 2s, .settle = 10ms, .firstRetry = 10ms } };
        std::vector<StoreRow> heard;
        int wholes = 0;
    };

    auto failure(StoreFailure::Kind kind) -> StoreFailure { return { kind, { "follow", "store", "test" }, {} }; }

} // namespace

TEST_CASE("changes are told in order and followed from the newest version on")
{
    Following test;
    CHECK(test.feed.follows[0].first.after == 10);
    test.feed.answerFollow(StoreResponse { .rows = { { "a", "1", 12, false } }, .newestVersion = 12 });
    REQUIRE(test.runUntil([&] { return test.feed.follows.size() == 1; }));
    CHECK(test.feed.follows[0].first.after == 12);
    CHECK(test.heard.size() == 1);
}

TEST_CASE("after a failure the next question doesn't wait for a change")
{
    Following test;
    test.feed.answerFollow(failure(StoreFailure::Kind::NotApplied));
    REQUIRE(test.runUntil([&] { return test.feed.follows.size() == 1; }));
    CHECK(test.feed.follows[0].first.wait == 0ms);
    test.feed.answerFollow(StoreResponse { .newestVersion = 10 });
    REQUIRE(test.runUntil([&] { return test.feed.follows.size() == 1; }));
    CHECK(test.feed.follows[0].first.wait == 2s);
}

TEST_CASE("a lost history is mended by reading the table anew")
{
    Following test;
    test.feed.answerFollow(failure(StoreFailure::Kind::HistoryTruncated));
    REQUIRE(test.runUntil([&] { return test.feed.reads.size() == 1; }));
    test.feed.answerRead(StoreResponse { .rows = { { "a", "1", 30, false } }, .newestVersion = 40 });
    CHECK(test.wholes == 2);
    REQUIRE(test.runUntil([&] { return test.feed.follows.size() == 1; }));
    CHECK(test.feed.follows[0].first.after == 40);
}

// Seen on a played day: where the long poll goes to another daemon, only the question beside it learns that the history
// is lost, and hosts refused all requests with keys for nine seconds.
TEST_CASE("catching up mends a lost history too, and doesn't start a second long poll")
{
    Following test;
    test.follower.catchUp();
    REQUIRE(test.feed.follows.size() == 2);
    std::swap(test.feed.follows[0], test.feed.follows[1]);
    test.feed.answerFollow(failure(StoreFailure::Kind::HistoryTruncated));
    REQUIRE(test.feed.reads.size() == 1);
    test.feed.answerRead(StoreResponse { .rows = { { "a", "1", 30, false } }, .newestVersion = 40 });
    CHECK(test.follower.after() == 40);
    CHECK(test.heard.size() == 1);
    CHECK_FALSE(test.runUntil([&] { return test.feed.follows.size() > 1; }));
}

} // namespace coriandergate::fleet
