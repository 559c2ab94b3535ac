#include "relay/EntryRequest.h"

#include "http/Exchange.h"
#include "http/Serialize.h"
#include "net/HttpServer.h"
#include "testing/EntryFixture.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // An entry and the peers of two targets, which grant every slot. The first request that arrives to be run is held;
    // others get `laterStatus` at once.
    struct SlowFirstAttempt : testing::EntryFixture {
        SlowFirstAttempt()
            : callerServer(io, {},
                [this](std::shared_ptr<http::Exchange> exchange) { EntryRequest::start(context, std::move(exchange)); })
        {
            std::vector<dispatch::LoadBalancer::Description> targets;
            for (auto& peer : peers) {
                peer = std::make_unique<net::HttpServer>(
                    io, net::HttpServer::Options {}, [this](auto exchange) { handle(exchange); });
                listen(*peer);
                peer->onConnectionClosed([this](const std::string&) { ++closedConnections; });
                targets.push_back({ .address = "127.0.0.1:" + std::to_string(peer->port()),
                    .service = "stock",
                    .locality = s_locality,
                    .slots = 4 });
            }
            listen(callerServer);
            loadBalancer.setTargets(targets);
            context.headers = { .requestId = "Request-Id", .deadline = "Deadline", .retryAfter = "Retry-After" };
            config::Configuration configuration;
            configuration.version = 1;
            for (const auto* name : { "reads", "writes" }) {
                const bool isRead = std::string_view(name) == "reads";
                configuration.routes.push_back({ .name = name,
                    .host = "shop.example",
                    .pathPrefix = "/" + std::string(name) + "/",
                    .service = "stock",
                    .isOpen = true,
                    .repeatPolicy = isRead ? config::RepeatPolicy::Idempotent : config::RepeatPolicy::OnceOnly,
                    .deadline = 2s,
                    .targetLatency = 150ms,
                    .maximumAttempts = 2 });
            }
            context.snapshot = std::make_shared<const PolicySnapshot>(std::move(configuration));
            context.hedging = dispatch::Hedging({ .limit = 1 });
        }

        static auto listen(net::HttpServer& server) -> void
        {
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
        }

        auto handle(const std::shared_ptr<http::Exchange>& exchange) -> void
        {
            const bool isRun = exchange->request().target == runPath;
            if (isRun && ++runs == 1) {
                held = exchange;
                return;
            }
            respond(*exchange, isRun ? laterStatus : 200, "second");
        }

        auto respond(http::Exchange& exchange, int status, const std::string& body) const -> void
        {
            auto response = http::makeAnswer(status, "text/plain", body);
            response.headers.add(outcomeHeader, outcomeName(RunOutcome::Answered));
            response.headers.add(loadHeader, encodeLoadReport({ .load = reportedLoad }));
            exchange.answer(std::move(response));
        }

        auto start(const std::string& path) -> void
        {
            http::Request message;
            message.method = "GET";
            message.target = path;
            message.headers.add("Host", "shop.example");
            message.headers.add("Request-Id", "r-1");
            peerClient.send("127.0.0.1:" + std::to_string(callerServer.port()), http::serializeRequest(message),
                { .timeout = 3s }, [this](net::HttpClient::Result done) { result = std::move(done); });
        }

        auto response() -> http::Answer
        {
            REQUIRE(testing::runUntil(io, [this] { return result.has_value(); }));
            return std::get<http::Answer>(*result);
        }

        std::array<std::unique_ptr<net::HttpServer>, 2> peers;
        net::HttpServer callerServer;
        std::shared_ptr<http::Exchange> held;
        std::optional<net::HttpClient::Result> result;
        dispatch::TargetLoad reportedLoad { .slots = 4 };
        int laterStatus = 200;
        int runs = 0;
        int closedConnections = 0;
    };

} // namespace

TEST_CASE_METHOD(
    SlowFirstAttempt, "a slow repeatable request is answered by its second attempt, and the first is cancelled")
{
    start("/reads/1");
    CHECK(response().body == "second");
    CHECK(runs == 2);
    CHECK(context.counters.hedges == 1);
    CHECK(context.counters.hedgesWon == 1);
    CHECK(context.counters.retries == 0);
    CHECK(testing::runUntil(io, [this] { return closedConnections >= 1; }));
}

TEST_CASE_METHOD(SlowFirstAttempt, "the first attempt counts if it responds before the second")
{
    laterStatus = 500;
    start("/reads/1");
    REQUIRE(testing::runUntil(io, [this] { return runs == 2; }));
    respond(*held, 200, "first");
    CHECK(response().body == "first");
    CHECK(context.counters.hedgesWon == 0);
}

TEST_CASE_METHOD(SlowFirstAttempt, "a request whose two attempts fail gets the response of a target")
{
    laterStatus = 500;
    start("/reads/1");
    REQUIRE(testing::runUntil(io, [this] { return runs == 2; }));
    respond(*held, 500, "first");
    CHECK(response().status == 500);
    CHECK(runs == 2); // of at most two
}

TEST_CASE_METHOD(SlowFirstAttempt, "a request gets no second attempt unless all rules allow it")
{
    std::string path = "/reads/1";
    SECTION("without a limit") { context.hedging = dispatch::Hedging({}); }
    SECTION("if it must not be repeated") { path = "/writes/1"; }
    SECTION("if the retry budget is used up") { retryBudget = dispatch::RetryBudget({ .retriesPerWindow = 0 }); }
    SECTION("if the service is busy") { reportedLoad = { .running = 4, .slots = 4 }; }
    SECTION("if the daemon stops") { context.shutdownDeadline = monotonicNow() + 250ms; }
    start(path);
    REQUIRE(testing::runUntil(io, [this] { return runs == 1; }));
    CHECK_FALSE(testing::runUntil(
        io, [this] { return runs == 2; }, 400ms));
    CHECK(context.counters.hedges == 0);
}

TEST_CASE_METHOD(SlowFirstAttempt, "a caller that leaves ends both attempts")
{
    laterStatus = 500;
    start("/reads/1");
    REQUIRE(testing::runUntil(io, [this] { return runs == 1; }));
    EntryContext::OpenRequests open = *context.openRequests;
    REQUIRE(open.size() == 1);
    open.begin()->second.lock()->cancel();
    CHECK_FALSE(testing::runUntil(
        io, [this] { return runs == 2; }, 400ms));
    for (const auto& target : loadBalancer.targets("stock"))
        CHECK(target->inFlight == 0);
}

} // namespace coriandergate::relay
