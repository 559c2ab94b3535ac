#include "relay/OwnerRelay.h"

#include "fleet/LocalTarget.h"
#include "http/Exchange.h"
#include "net/HttpServer.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // OneTarget is a daemon with its target behind it, asked over real sockets.
    struct OneTarget {
        OneTarget()
            : backEnd(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { serve(exchange); })
            , peers(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { owner->handle(std::move(exchange)); })
            , hops(io, {})
        {
            Error reason;
            REQUIRE(backEnd.listen("127.0.0.1:0", reason));
            REQUIRE(peers.listen("127.0.0.1:0", reason));
            const auto address = "127.0.0.1:" + std::to_string(backEnd.port());
            target.emplace("ledger", address);
            REQUIRE(target->receive(
                        { .id = "i-1", .service = "ledger", .address = address, .startedAt = 1, .slots = 4 }, reason)
                == fleet::LocalTarget::HeartbeatResult::Changed);
            owner.emplace(io, *target, calls, OwnerRelay::Options { .headers = names });
            owner->open();
            owner->onTargetChanged();
        }

        auto serve(const std::shared_ptr<http::Exchange>& exchange) -> void
        {
            ++runs;
            auto answer = http::makeAnswer(status, "text/plain", "");
            if (refuses)
                answer.headers.add(names.notRun, "1");
            answer.headers.add(names.signature, "signed");
            answer.headers.add(names.requestId, exchange->request().headers.find(names.requestId).value_or(""));
            exchange->answer(std::move(answer));
        }

        // Sends `bytes`, on the connection of `call` unless that is 0, and waits for the answer.
        auto ask(net::HttpClient::Call& call, std::string bytes) -> http::Answer
        {
            std::optional<net::HttpClient::Result> result;
            const auto take = [&result](net::HttpClient::Result given) { result = std::move(given); };
            bool isSent = true;
            if (call == 0)
                call = hops.send("127.0.0.1:" + std::to_string(peers.port()), std::move(bytes),
                    { .timeout = 1s, .keepsConnection = true }, take);
            else
                isSent = hops.sendNext(call, std::move(bytes), { .timeout = 1s }, take);
            REQUIRE(isSent);
            testing::runUntil(io, [&result] { return result.has_value(); });
            REQUIRE(result);
            REQUIRE(std::holds_alternative<http::Answer>(*result));
            return std::get<http::Answer>(*result);
        }

        auto reserve(net::HttpClient::Call& call, bool isRepeatable) -> http::Answer
        {
            return ask(call,
                encodeReserve(
                    { .requestId = "r", .service = "ledger", .isRepeatable = isRepeatable, .targetLatencyLeft = 1s }));
        }

        auto run(net::HttpClient::Call& call, bool isRepeatable) -> http::Answer
        {
            http::Request request;
            request.method = "POST";
            request.target = "/orders/1";
            request.headers.add("Host", "shop.example");
            request.headers.add(names.requestId, "r");
            return ask(call,
                encodeRun({ .request = request,
                    .requestId = "r",
                    .isRepeatable = isRepeatable,
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
            .notRun = "Not-Run",
            .callerService = "Caller-Service" };
        dispatch::CallRatio calls;
        std::optional<fleet::LocalTarget> target;
        std::optional<OwnerRelay> owner;
        net::HttpServer backEnd;
        net::HttpServer peers;
        net::HttpClient hops;
        int status = 200;
        bool refuses = false;
        int runs = 0;
    };

    auto outcome(const http::Answer& answer) -> std::optional<HopOutcome>
    {
        return outcomeOf(answer.headers.find(outcomeHeader).value_or(""));
    }

} // namespace

TEST_CASE("a slot that was granted before the target began to fail is taken back unused")
{
    OneTarget one;
    net::HttpClient::Call first = 0;
    net::HttpClient::Call second = 0;
    REQUIRE(one.reserve(first, true).status == 200);
    REQUIRE(one.reserve(second, false).status == 200);
    one.status = 500;
    CHECK(one.run(first, true).status == 500);
    const auto answer = one.run(second, false);
    CHECK(outcome(answer) == HopOutcome::NotSent);
    CHECK(one.runs == 1);
}

TEST_CASE("a refusal of the target is told apart from an attempt that never reached it")
{
    OneTarget one;
    net::HttpClient::Call call = 0;
    REQUIRE(one.reserve(call, false).status == 200);
    SECTION("the target refuses")
    {
        one.refuses = true;
        CHECK(outcome(one.run(call, false)) == HopOutcome::NotRun);
        CHECK(one.runs == 1);
    }
    SECTION("the target takes no connection")
    {
        one.backEnd.finishDrain();
        CHECK(outcome(one.run(call, false)) == HopOutcome::NotSent);
        CHECK(one.runs == 0);
    }
}

} // namespace coriandergate::relay
