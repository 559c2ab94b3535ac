#include "relay/RateLimitOwner.h"

#include "http/Exchange.h"
#include "http/Serialize.h"
#include "net/HttpServer.h"
#include "relay/PeerMessages.h"
#include "testing/EntryFixture.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // The only owner of the rate limit of account "shop": a burst of four requests, then two per second.
    struct OwnerFixture : testing::EntryFixture {
        OwnerFixture()
        {
            config::Configuration configuration;
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
            configuration.version = 1;
            configuration.clientAccounts.push_back({ .name = "shop", .ratePerSecond = 2, .burst = 4 });
            context.snapshot = std::make_shared<const PolicySnapshot>(std::move(configuration));
            refreshFromStore();
            owner.setHosts({ { "self", 0ms } }, monotonicNow() - 1min);
        }

        auto refreshFromStore() -> void
        {
            const auto now = SuspendAwareClock::now();
            freshness.recordResponse(now, now, 100s);
        }

        auto send(const std::string& message) -> http::Answer
        {
            std::optional<net::HttpClient::Result> result;
            peerClient.send("127.0.0.1:" + std::to_string(server.port()), message, { .timeout = 1s },
                [&result](net::HttpClient::Result received) { result = std::move(received); });
            testing::runUntil(io, [&result] { return result.has_value(); });
            REQUIRE(result);
            REQUIRE(std::holds_alternative<http::Answer>(*result));
            return std::get<http::Answer>(*result);
        }

        auto checkAccount(const std::string& account) -> http::Answer
        {
            return send(encodeRateLimitRequest({ account }));
        }

        RateLimitOwner owner { context, { .limits = {}, .fraction = 1 }, monotonicNow() - 1min };
        net::HttpServer server { io, {},
            [this](const std::shared_ptr<http::Exchange>& exchange) { owner.handle(exchange); } };
    };

} // namespace

TEST_CASE("RateLimitOwner grants requests up to the burst and then returns the delay until the next one")
{
    OwnerFixture fixture;
    int granted = 0;
    while (granted < 100 && fixture.checkAccount("shop").status == 200)
        ++granted;
    CHECK(granted >= 4);
    CHECK(granted < 100);
    const auto answer = fixture.checkAccount("shop");
    CHECK(answer.status == 429);
    const auto retryAfter = decodeRetryAfter(answer.body);
    REQUIRE(retryAfter);
    CHECK(*retryAfter > 0ms);
    CHECK(*retryAfter <= 500ms); // two per second
}

TEST_CASE("RateLimitOwner grants nothing when it may have been replaced or is stopping")
{
    OwnerFixture fixture;
    REQUIRE(fixture.checkAccount("shop").status == 200);
    SECTION("its data is stale")
    {
        fixture.freshness = dispatch::StalenessTracker({ .maximumAge = 1s });
        CHECK(fixture.checkAccount("shop").status == 503);
    }
    SECTION("it is stopping")
    {
        fixture.context.shutdownDeadline = monotonicNow() + 1s;
        CHECK(fixture.checkAccount("shop").status == 503);
    }
    SECTION("it is no longer an owner")
    {
        fixture.owner.setHosts({ { "other-1", 0ms }, { "other-2", 0ms } }, monotonicNow());
        CHECK(fixture.checkAccount("shop").status == 503);
    }
}

TEST_CASE("RateLimitOwner grants nothing for an unknown account or a malformed message")
{
    OwnerFixture fixture;
    CHECK(fixture.checkAccount("stranger").status == 503);
    http::Request malformed;
    malformed.method = "POST";
    malformed.target = "/";
    malformed.body = "not a message";
    const auto answer = fixture.send(http::serializeRequest(malformed));
    CHECK(answer.status == 400);
    CHECK_FALSE(answer.body.empty());
}

} // namespace coriandergate::relay
