#include "relay/RateLimitCheck.h"

#include "config/ClientAccount.h"
#include "http/Exchange.h"
#include "net/HttpServer.h"
#include "relay/PeerMessages.h"
#include "testing/EntryFixture.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    const auto account = std::make_shared<const config::ClientAccount>(
        config::ClientAccount { .name = "shop", .ratePerSecond = 10, .burst = 5 });

    // Owner responds with `status` and `body`, and counts the checks it received.
    struct Owner {
        explicit Owner(boost::asio::io_context& io)
            : server(io, {}, [this](std::shared_ptr<http::Exchange> exchange) {
                ++checks;
                exchange->answer(http::makeAnswer(status, "text/plain", body));
            })
        {
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
        }

        auto exhaustFor(std::chrono::milliseconds retryAfter) -> void
        {
            status = 429;
            body = encodeRetryAfter(retryAfter);
        }

        int status = 200;
        std::string body;
        int checks = 0;
        net::HttpServer server;
    };

    // An entry, both rate limit owners in its region and one in another region.
    struct Entry : testing::EntryFixture {
        Entry()
        {
            for (auto* list : { &localOwners, &localOwners, &remoteOwners })
                list->push_back(std::make_unique<Owner>(io));
            directory.apply({ testing::makeHostRow("a", localOwners[0]->server.port(), s_locality),
                                testing::makeHostRow("b", localOwners[1]->server.port(), s_locality),
                                testing::makeHostRow("c", remoteOwners[0]->server.port(), { "east", "east-a" }) },
                true);
        }

        auto check() -> dispatch::AccountRateLimiter::Decision
        {
            std::optional<dispatch::AccountRateLimiter::Decision> result;
            const auto running
                = RateLimitCheck::start(context, { .account = account, .requestId = "r-1", .timeLeft = 900ms },
                    [&result](const dispatch::AccountRateLimiter::Decision& decision) { result = decision; });
            testing::runUntil(io, [&result] { return result.has_value(); });
            REQUIRE(result);
            return *result;
        }

        std::vector<std::unique_ptr<Owner>> localOwners;
        std::vector<std::unique_ptr<Owner>> remoteOwners;
    };

} // namespace

TEST_CASE("RateLimitCheck asks the owners in its own region first")
{
    Entry entry;
    for (int i = 0; i < 20; ++i)
        CHECK(entry.check().isGranted);
    CHECK(entry.localOwners[0]->checks + entry.localOwners[1]->checks == 20);
    CHECK(entry.remoteOwners[0]->checks == 0);
}

TEST_CASE("RateLimitCheck returns the shortest retryAfter of exhausted owners and skips them until it has passed")
{
    Entry entry;
    entry.localOwners[0]->exhaustFor(2000ms);
    entry.localOwners[1]->exhaustFor(3000ms);
    entry.remoteOwners[0]->exhaustFor(900ms);
    const auto decision = entry.check();
    CHECK_FALSE(decision.isGranted);
    CHECK(decision.retryAfter == 900ms);
    const auto again = entry.check();
    CHECK_FALSE(again.isGranted);
    REQUIRE(again.retryAfter);
    CHECK(*again.retryAfter <= 900ms);
    CHECK(entry.localOwners[0]->checks + entry.localOwners[1]->checks + entry.remoteOwners[0]->checks == 3);
}

// Guards against requests that each wait for the timeout of rate limit owners which are cut off.
TEST_CASE("RateLimitCheck skips owners that gave no decision and returns no retryAfter for them")
{
    Entry entry;
    entry.localOwners[0]->status = 503;
    entry.localOwners[1]->server.finishDrain(); // accepts no connections
    CHECK(entry.check().isGranted); // by the owner in the other region
    CHECK(entry.check().isGranted);
    CHECK(entry.localOwners[0]->checks == 1);
    entry.remoteOwners[0]->status = 503;
    const auto decision = entry.check();
    CHECK_FALSE(decision.isGranted);
    CHECK_FALSE(decision.retryAfter);
}

TEST_CASE("RateLimitCheck does not call back after cancel()")
{
    Entry entry;
    bool isCalled = false;
    const auto check
        = RateLimitCheck::start(entry.context, { .account = account, .requestId = "r-1", .timeLeft = 900ms },
            [&isCalled](const dispatch::AccountRateLimiter::Decision&) { isCalled = true; });
    check->cancel();
    for (int i = 0; i < 10; ++i)
        entry.io.run_one_for(10ms);
    CHECK_FALSE(isCalled);
}

} // namespace coriandergate::relay
