#include "base/Error.h"
#include "fleet/LocalTarget.h"
#include "http/Exchange.h"
#include "net/HttpServer.h"
#include "relay/TargetRelay.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // Peers reserve slots of a target with one slot, over loopback sockets; the target responds when told to.
    struct Relay {
        Relay()
            : targetServer(
                io, {}, [this](std::shared_ptr<http::Exchange> exchange) { executing.push_back(std::move(exchange)); })
            , peerServer(
                  io, {}, [this](std::shared_ptr<http::Exchange> exchange) { relay->handle(std::move(exchange)); })
            , client(io, {})
        {
            Error reason;
            REQUIRE(targetServer.listen("127.0.0.1:0", reason));
            REQUIRE(peerServer.listen("127.0.0.1:0", reason));
            const auto address = "127.0.0.1:" + std::to_string(targetServer.port());
            target.emplace("ledger", address);
            REQUIRE(target->receive(
                        { .id = "i-1", .service = "ledger", .address = address, .startedAt = 1, .slots = 1 }, reason)
                == fleet::LocalTarget::HeartbeatResult::Changed);
            relay.emplace(io, *target, callRatio, TargetRelay::Options { .headers = names });
            relay->startAccepting();
            relay->onTargetChanged();
            peerServer.onConnectionClosed([this](const std::string& peer) { relay->onConnectionClosed(peer); });
        }

        struct Peer {
            net::HttpClient::Call call = 0;
            std::optional<net::HttpClient::Result> result;

            [[nodiscard]] auto status() const -> int
            {
                return result && std::holds_alternative<http::Answer>(*result) ? std::get<http::Answer>(*result).status
                                                                               : 0;
            }
        };

        auto reserve(const std::string& account, std::chrono::milliseconds maximumWait, int priority = 0)
            -> std::shared_ptr<Peer>
        {
            auto peer = std::make_shared<Peer>();
            const auto state = [this] { return std::pair(relay->loadReport(monotonicNow()).load, relay->gaveWay()); };
            const auto before = state();
            peer->call = client.send("127.0.0.1:" + std::to_string(peerServer.port()),
                encodeReserveRequest({ .requestId = "r",
                    .service = "ledger",
                    .priority = priority,
                    .isIdempotent = true,
                    .targetLatencyLeft = 10s,
                    .maximumWait = maximumWait,
                    .clientAccount = account }),
                { .timeout = 10s, .keepsConnection = true },
                [peer](net::HttpClient::Result received) { peer->result = std::move(received); });
            testing::runUntil(io, [&] { return peer->result || state() != before; });
            return peer;
        }

        // The status of the response to `peer`, which comes.
        auto statusOf(const Peer& peer) -> int
        {
            testing::runUntil(io, [&peer] { return peer.result.has_value(); });
            return peer.status();
        }

        HeaderNames names { .requestId = "Request-Id",
            .deadline = "Deadline",
            .signature = "Signature",
            .clientAccount = "Account",
            .expectedTarget = "Expected-Target",
            .load = "Load",
            .notExecuted = "Not-Run",
            .callerService = "Caller-Service" };
        boost::asio::io_context io;
        dispatch::CallRatio callRatio;
        std::optional<fleet::LocalTarget> target;
        std::optional<TargetRelay> relay;
        net::HttpServer targetServer;
        net::HttpServer peerServer;
        net::HttpClient client;
        std::vector<std::shared_ptr<http::Exchange>> executing;
    };

} // namespace

// Load pattern: one account fills the queue of a target.
TEST_CASE("a waiting request of the largest account is refused as not sent when another account's goes first")
{
    Relay fixture;
    auto& relay = *fixture.relay;
    const auto running = fixture.reserve("hot", 0s);
    REQUIRE(fixture.statusOf(*running) == 200);
    // A service time is taken for 300 ms until one is known.
    std::vector<std::shared_ptr<Relay::Peer>> waiting;
    for (int i = 0; i < 3; ++i)
        waiting.push_back(fixture.reserve("hot", 950ms));
    CHECK(relay.loadReport(monotonicNow()).load.waiting == 3);
    CHECK(relay.waitingAccounts() == 1);
    CHECK(relay.gaveWay() == 0);
    const auto small = fixture.reserve("small", 950ms);
    CHECK(fixture.statusOf(*waiting.back()) == 503);
    const auto& refusal = std::get<http::Answer>(*waiting.back()->result);
    CHECK(parseOutcome(refusal.headers.find(outcomeHeader).value_or("")) == RunOutcome::NotSent);
    CHECK(refusal.body == noSlotInTime);
    CHECK(relay.gaveWay() == 1);
    CHECK(relay.waitingAccounts() == 2);
    CHECK_FALSE(small->result);
    CHECK_FALSE(waiting.front()->result);
}

TEST_CASE("the relay knows the priorities of the requests that its target executes")
{
    Relay fixture;
    auto& relay = *fixture.relay;
    const auto peer = fixture.reserve("shop", 0s, 3);
    REQUIRE(fixture.statusOf(*peer) == 200);
    CHECK_FALSE(relay.runningPriorities().highest()); // nothing was sent yet
    peer->result.reset();
    http::Request request;
    request.method = "POST";
    request.target = "/orders/1";
    request.headers.add("Host", "shop.example");
    REQUIRE(fixture.client.sendNext(peer->call,
        encodeRunRequest(
            { .request = request, .requestId = "r", .isIdempotent = true, .timeLeft = 10s, .targetLatencyLeft = 10s }),
        { .timeout = 10s }, [peer](net::HttpClient::Result received) { peer->result = std::move(received); }));
    testing::runUntil(fixture.io, [&fixture] { return !fixture.executing.empty(); });
    REQUIRE(fixture.executing.size() == 1);
    CHECK(relay.runningPriorities().highest() == 3);
    SECTION("the target responds")
    {
        auto response = http::makeAnswer(200, "text/plain", "");
        response.headers.add(fixture.names.signature, "signed");
        response.headers.add(fixture.names.requestId, "r");
        fixture.executing.front()->answer(std::move(response));
        CHECK(fixture.statusOf(*peer) == 200);
    }
    SECTION("the caller leaves")
    {
        fixture.client.cancel(peer->call);
        testing::runUntil(fixture.io, [&relay] { return relay.running() == 0; });
    }
    CHECK_FALSE(relay.runningPriorities().highest());
}

} // namespace coriandergate::relay
