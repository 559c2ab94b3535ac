#include "relay/RateLimitOwner.h"

#include "http/Exchange.h"
#include "http/Serialize.h"
#include "net/HttpServer.h"
#include "relay/PeerMessages.h"
#include "testing/EntryParts.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // The only home of the account "shop", which may send four requests at once and two a second.
    struct Home : testing::EntryParts {
        Home()
        {
            config::Configuration configuration;
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
            configuration.version = 1;
            configuration.clientAccounts.push_back({ .name = "shop", .ratePerSecond = 2, .burst = 4 });
            context.snapshot = std::make_shared<const PolicySnapshot>(std::move(configuration));
            hearFromStore();
            home.setHosts({ { "self", 0ms } }, monotonicNow() - 1min);
        }

        auto hearFromStore() -> void
        {
            const auto now = SuspendAwareClock::now();
            proof.recordAnswer(now, now, 100s);
        }

        auto ask(const std::string& message) -> http::Answer
        {
            std::optional<net::HttpClient::Result> result;
            hops.send("127.0.0.1:" + std::to_string(server.port()), message, { .timeout = 1s },
                [&result](net::HttpClient::Result given) { result = std::move(given); });
            testing::runUntil(io, [&result] { return result.has_value(); });
            REQUIRE(result);
            REQUIRE(std::holds_alternative<http::Answer>(*result));
            return std::get<http::Answer>(*result);
        }

        auto askFor(const std::string& account) -> http::Answer { return ask(encodeRateLimitRequest({ account })); }

        RateLimitOwner home { context, { .limits = {}, .part = 1 }, monotonicNow() - 1min };
        net::HttpServer server { io, {},
            [this](const std::shared_ptr<http::Exchange>& exchange) { home.handle(exchange); } };
    };

} // namespace

TEST_CASE("a home grants requests up to the burst, then tells when the next one's turn comes")
{
    Home home;
    int granted = 0;
    while (granted < 100 && home.askFor("shop").status == 200)
        ++granted;
    CHECK(granted >= 4);
    CHECK(granted < 100);
    const auto answer = home.askFor("shop");
    CHECK(answer.status == 429);
    const auto turn = decodeRetryDelay(answer.body);
    REQUIRE(turn);
    CHECK(*turn > 0ms);
    CHECK(*turn <= 500ms); // two a second
}

TEST_CASE("a home that may have been replaced, or is stopping, hands out nothing")
{
    Home home;
    REQUIRE(home.askFor("shop").status == 200);
    SECTION("its news is old")
    {
        home.proof = dispatch::FreshnessProof({ .maximumAge = 1s });
        CHECK(home.askFor("shop").status == 503);
    }
    SECTION("it is stopping")
    {
        home.context.shutdownDeadline = monotonicNow() + 1s;
        CHECK(home.askFor("shop").status == 503);
    }
    SECTION("it isn't a home any more")
    {
        home.home.setHosts({ { "other-1", 0ms }, { "other-2", 0ms } }, monotonicNow());
        CHECK(home.askFor("shop").status == 503);
    }
}

TEST_CASE("an ask for an account that isn't known or that can't be read grants nothing")
{
    Home home;
    CHECK(home.askFor("stranger").status == 503);
    http::Request garbled;
    garbled.method = "POST";
    garbled.target = "/";
    garbled.body = "not a message";
    const auto answer = home.ask(http::serializeRequest(garbled));
    CHECK(answer.status == 400);
    CHECK_FALSE(answer.body.empty());
}

} // namespace coriandergate::relay
