#include "relay/TargetRelay.h"

#include "fleet/LocalTarget.h"
#include "http/Exchange.h"
#include "net/HttpServer.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // RelayFixture is a relay and its target, reached over loopback sockets.
    struct RelayFixture {
        RelayFixture()
            : targetServer(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { serve(exchange); })
            , relayServer(
                  io, {}, [this](std::shared_ptr<http::Exchange> exchange) { relay->handle(std::move(exchange)); })
            , client(io, {})
        {
            Error reason;
            REQUIRE(targetServer.listen("127.0.0.1:0", reason));
            REQUIRE(relayServer.listen("127.0.0.1:0", reason));
            const auto address = "127.0.0.1:" + std::to_string(targetServer.port());
            target.emplace("ledger", address);
            REQUIRE(target->receive(
                        { .id = "i-1", .service = "ledger", .address = address, .startedAt = 1, .slots = 4 }, reason)
                == fleet::LocalTarget::HeartbeatResult::Changed);
            relay.emplace(io, *target, callRatio, TargetRelay::Options { .headers = names });
            relay->startAccepting();
            relay->onTargetChanged();
        }

        auto serve(const std::shared_ptr<http::Exchange>& exchange) -> void
        {
            ++runs;
            auto response = http::makeAnswer(status, "text/plain", "");
            if (rejects)
                response.headers.add(names.notExecuted, "1");
            response.headers.add(names.signature, "signed");
            if (echoesId)
                response.headers.add(names.requestId, exchange->request().headers.find(names.requestId).value_or(""));
            exchange->answer(std::move(response));
        }

        // Sends `bytes` and waits for the response. Uses the connection of `call`, or opens one and sets `call` when it
        // is 0.
        auto exchange(net::HttpClient::Call& call, std::string bytes) -> http::Answer
        {
            std::optional<net::HttpClient::Result> result;
            const auto store = [&result](net::HttpClient::Result received) { result = std::move(received); };
            bool isSent = true;
            if (call == 0)
                call = client.send("127.0.0.1:" + std::to_string(relayServer.port()), std::move(bytes),
                    { .timeout = 1s, .keepsConnection = true }, store);
            else
                isSent = client.sendNext(call, std::move(bytes), { .timeout = 1s, .keepsConnection = true }, store);
            REQUIRE(isSent);
            testing::runUntil(io, [&result] { return result.has_value(); });
            REQUIRE(result);
            REQUIRE(std::holds_alternative<http::Answer>(*result));
            return std::get<http::Answer>(*result);
        }

        auto reserve(net::HttpClient::Call& call, bool isIdempotent) -> http::Answer
        {
            return exchange(call,
                encodeReserveRequest(
                    { .requestId = "r", .service = "ledger", .isIdempotent = isIdempotent, .targetLatencyLeft = 1s }));
        }

        auto run(net::HttpClient::Call& call, bool isIdempotent) -> http::Answer
        {
            http::Request request;
            request.method = "POST";
            request.target = "/orders/1";
            request.headers.add("Host", "shop.example");
            request.headers.add(names.requestId, "r");
            return exchange(call,
                encodeRunRequest({ .request = request,
                    .requestId = "r",
                    .isIdempotent = isIdempotent,
                    .timeLeft = 1s,
                    .targetLatencyLeft = 1s }));
        }

        boost::asio::io_context io;
        HeaderNames names { .requestId = "Request-Id",
            .deadline = "Deadline",
            .signature = "Signature",
            .clientAccount = "Account",
            .expectedTarget = "Expected-Target",
            .load = "Load",
            .notExecuted = "Not-Run",
            .callerService = "Caller-Service" };
        dispatch::CallRatio callRatio;
        std::optional<fleet::LocalTarget> target;
        std::optional<TargetRelay> relay;
        net::HttpServer targetServer;
        net::HttpServer relayServer;
        net::HttpClient client;
        int status = 200;
        bool rejects = false;
        bool echoesId = true;
        int runs = 0;
    };

    auto outcome(const http::Answer& response) -> std::optional<RunOutcome>
    {
        return parseOutcome(response.headers.find(outcomeHeader).value_or(""));
    }

} // namespace

TEST_CASE("TargetRelay does not send a request to a target that failed after the slot was granted")
{
    RelayFixture fixture;
    net::HttpClient::Call first = 0;
    net::HttpClient::Call second = 0;
    REQUIRE(fixture.reserve(first, true).status == 200);
    REQUIRE(fixture.reserve(second, false).status == 200);
    fixture.status = 500;
    CHECK(fixture.run(first, true).status == 500);
    const auto response = fixture.run(second, false);
    CHECK(outcome(response) == RunOutcome::NotSent);
    CHECK(fixture.runs == 1);
}

TEST_CASE("TargetRelay distinguishes a rejection by the target from a request that was never sent")
{
    RelayFixture fixture;
    net::HttpClient::Call call = 0;
    REQUIRE(fixture.reserve(call, false).status == 200);
    SECTION("the target rejects the request")
    {
        fixture.rejects = true;
        CHECK(outcome(fixture.run(call, false)) == RunOutcome::NotRun);
        CHECK(fixture.runs == 1);
    }
    SECTION("the rejection doesn't name the request, so it may be an earlier one that comes again")
    {
        fixture.rejects = true;
        fixture.echoesId = false;
        CHECK(outcome(fixture.run(call, false)) == RunOutcome::MayHaveRun);
    }
    SECTION("the target accepts no connections")
    {
        fixture.targetServer.finishDrain();
        CHECK(outcome(fixture.run(call, false)) == RunOutcome::NotSent);
        CHECK(fixture.runs == 0);
    }
}

// Guards against a request that runs twice: it comes again, on another connection, while the target executes it.
TEST_CASE("TargetRelay states that a request was not sent only if its slot was granted on the same connection")
{
    RelayFixture fixture;
    net::HttpClient::Call call = 0;
    SECTION("no slot was granted") { CHECK(outcome(fixture.run(call, false)) == RunOutcome::MayHaveRun); }
    SECTION("the slot was used")
    {
        REQUIRE(fixture.reserve(call, false).status == 200);
        CHECK(outcome(fixture.run(call, false)) == RunOutcome::Answered);
        CHECK(outcome(fixture.run(call, false)) == RunOutcome::MayHaveRun);
        CHECK(fixture.runs == 1);
    }
    SECTION("the granted slot was released after a timeout")
    {
        REQUIRE(fixture.reserve(call, false).status == 200);
        REQUIRE(testing::runUntil(fixture.io, [&fixture] { return fixture.relay->running() == 0; }));
        CHECK(outcome(fixture.run(call, false)) == RunOutcome::NotSent);
        CHECK(fixture.runs == 0);
    }
}

} // namespace coriandergate::relay
