#include "relay/RateLimitCheck.h"

#include "config/ClientAccount.h"
#include "http/Exchange.h"
#include "net/HttpServer.h"
#include "relay/PeerMessages.h"
#include "testing/EntryParts.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    const config::ClientAccount account { .name = "shop", .ratePerSecond = 10, .burst = 5 };

    // Home answers with what it is told, and counts how often it was asked.
    struct Home {
        explicit Home(boost::asio::io_context& io)
            : server(io, {}, [this](std::shared_ptr<http::Exchange> exchange) {
                ++asked;
                exchange->answer(http::makeAnswer(status, "text/plain", body));
            })
        {
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
        }

        auto spendUntil(std::chrono::milliseconds turnIn) -> void
        {
            status = 429;
            body = encodeRetryDelay(turnIn);
        }

        int status = 200;
        std::string body;
        int asked = 0;
        net::HttpServer server;
    };

    // An entry, both homes of its region and one of another.
    struct Entry : testing::EntryParts {
        Entry()
        {
            for (auto* list : { &near, &near, &far })
                list->push_back(std::make_unique<Home>(io));
            directory.apply({ testing::makeHostRow("a", near[0]->server.port(), s_here),
                                testing::makeHostRow("b", near[1]->server.port(), s_here),
                                testing::makeHostRow("c", far[0]->server.port(), { "east", "east-a" }) },
                true);
        }

        auto ask() -> dispatch::RatePool::Decision
        {
            std::optional<dispatch::RatePool::Decision> result;
            const auto asked
                = RateLimitCheck::start(context, { .account = account, .requestId = "r-1", .timeLeft = 900ms },
                    [&result](const dispatch::RatePool::Decision& decision) { result = decision; });
            testing::runUntil(io, [&result] { return result.has_value(); });
            REQUIRE(result);
            return *result;
        }

        std::vector<std::unique_ptr<Home>> near;
        std::vector<std::unique_ptr<Home>> far;
    };

} // namespace

TEST_CASE("a request's rate is asked of the homes in its region first")
{
    Entry entry;
    for (int i = 0; i < 20; ++i)
        CHECK(entry.ask().isGranted);
    CHECK(entry.near[0]->asked + entry.near[1]->asked == 20);
    CHECK(entry.far[0]->asked == 0);
}

TEST_CASE("when no home has one left the turn is the soonest, and homes aren't asked before it")
{
    Entry entry;
    entry.near[0]->spendUntil(2000ms);
    entry.near[1]->spendUntil(3000ms);
    entry.far[0]->spendUntil(900ms);
    const auto decision = entry.ask();
    CHECK_FALSE(decision.isGranted);
    CHECK(decision.turnIn == 900ms);
    const auto again = entry.ask();
    CHECK_FALSE(again.isGranted);
    REQUIRE(again.turnIn);
    CHECK(*again.turnIn <= 900ms);
    CHECK(entry.near[0]->asked + entry.near[1]->asked + entry.far[0]->asked == 3);
}

// Load pattern: an account's homes are cut off. The naive way asks them for each request and waits each time.
TEST_CASE("homes that can't tell aren't asked again for a while, and then there is no turn")
{
    Entry entry;
    entry.near[0]->status = 503;
    entry.near[1]->server.finishDrain(); // takes no connection
    CHECK(entry.ask().isGranted); // by the one of the other region
    CHECK(entry.ask().isGranted);
    CHECK(entry.near[0]->asked == 1);
    entry.far[0]->status = 503;
    const auto decision = entry.ask();
    CHECK_FALSE(decision.isGranted);
    CHECK_FALSE(decision.turnIn);
}

TEST_CASE("a rate check that is cancelled tells nothing")
{
    Entry entry;
    bool isTold = false;
    const auto check
        = RateLimitCheck::start(entry.context, { .account = account, .requestId = "r-1", .timeLeft = 900ms },
            [&isTold](const dispatch::RatePool::Decision&) { isTold = true; });
    check->cancel();
    for (int i = 0; i < 10; ++i)
        entry.io.run_one_for(10ms);
    CHECK_FALSE(isTold);
}

} // namespace coriandergate::relay
