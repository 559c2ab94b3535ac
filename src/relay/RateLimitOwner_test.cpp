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

    // The only owner of the rate limit of account "shop": a burst of four requests, then two per second.
    struct Owner : testing::EntryParts {
        Owner()
        {
            config::Configuration configuration;
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
            configuration.version = 1;
            configuration.clientAccounts.push_back({ .name = "shop", .ratePerSecond = 2, .burst = 4 });
            context.snapshot = std::make_shared<const PolicySnapshot>(std::move(configuration));
            refreshFromStore();
            limitOwner.setHosts({ { "self", 0ms } }, monotonicNow() - 1min);
        }

        auto refreshFromStore() -> void
        {
            const auto now = SuspendAwareClock::now();
            proof.recordAnswer(now, now, 100s);
        }

        auto send(const std::string& message) -> http::Answer
        {
            std::optional<net::HttpClient::Result> result;
            hops.send("127.0.0.1:" + std::to_string(server.port()), message, { .timeout = 1s },
                [&result](net::HttpClient::Result given) { result = std::move(given); });
            testing::runUntil(io, [&result] { return result.has_value(); });
            REQUIRE(result);
            REQUIRE(std::holds_alternative<http::Answer>(*result));
            return std::get<http::Answer>(*result);
        }

        auto checkAccount(const std::string& account) -> http::Answer
        {
            return send(encodeRateLimitRequest({ account }));
        }

        RateLimitOwner limitOwner { context, { .limits = {}, .part = 1 }, monotonicNow() - 1min };
        net::HttpServer server { io, {},
            [this](const std::shared_ptr<http::Exchange>& exchange) { limitOwner.handle(exchange); } };
    };

} // namespace

TEST_CASE("RateLimitOwner grants requests up to the burst and then returns the delay until the next one")
{
    Owner owner;
    int granted = 0;
    while (granted < 100 && owner.checkAccount("shop").status == 200)
        ++granted;
    CHECK(granted >= 4);
    CHECK(granted < 100);
    const auto answer = owner.checkAccount("shop");
    CHECK(answer.status == 429);
    const auto retryDelay = decodeRetryDelay(answer.body);
    REQUIRE(retryDelay);
    CHECK(*retryDelay > 0ms);
    CHECK(*retryDelay <= 500ms); // two per second
}

TEST_CASE("RateLimitOwner grants nothing when it may have been replaced or is stopping")
{
    Owner owner;
    REQUIRE(owner.checkAccount("shop").status == 200);
    SECTION("its data is stale")
    {
        owner.proof = dispatch::FreshnessProof({ .maximumAge = 1s });
        CHECK(owner.checkAccount("shop").status == 503);
    }
    SECTION("it is stopping")
    {
        owner.context.shutdownDeadline = monotonicNow() + 1s;
        CHECK(owner.checkAccount("shop").status == 503);
    }
    SECTION("it is no longer an owner")
    {
        owner.limitOwner.setHosts({ { "other-1", 0ms }, { "other-2", 0ms } }, monotonicNow());
        CHECK(owner.checkAccount("shop").status == 503);
    }
}

TEST_CASE("RateLimitOwner grants nothing for an unknown account or a malformed message")
{
    Owner owner;
    CHECK(owner.checkAccount("stranger").status == 503);
    http::Request malformed;
    malformed.method = "POST";
    malformed.target = "/";
    malformed.body = "not a message";
    const auto answer = owner.send(http::serializeRequest(malformed));
    CHECK(answer.status == 400);
    CHECK_FALSE(answer.body.empty());
}

} // namespace coriandergate::relay
