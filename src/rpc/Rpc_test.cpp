#include "base/Clock.h"
#include "base/Error.h"
#include "http/Exchange.h"
#include "http/Server.h"
#include "http/WorkerPool.h"
#include "rpc/RpcClient.h"
#include "rpc/RpcRegistry.h"
#include "rpc/RpcTraffic.h"
#include "rpc/internal/JsonConversion.h"
#include "testing/Application.h"
#include "testing/LoopbackPort.h"

#include <QCoreApplication>
#include <catch2/catch.hpp>

#include <future>
#include <random>

using namespace coriandergate;
using namespace coriandergate::rpc;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr auto patience = 10s;

auto makeRegistry() -> std::unique_ptr<RpcRegistry>
{
    auto registry = std::make_unique<RpcRegistry>();
    registry->add("double", [](const json& parameters, Error& reason) -> std::optional<json> {
        if (!parameters.contains("value")) {
            reason = { "double", "", "value is missing" };
            return std::nullopt;
        }
        return json { { "value", 2 * parameters["value"].get<std::int64_t>() } };
    });
    return registry;
}

// Peer is a daemon's peer listener with one method, beside a client, all on workers.
struct Peer {
    bool hasApplication = (testing::ensureApplication(), true);
    http::WorkerPool workers { { .threads = 2 } };
    std::unique_ptr<RpcRegistry> registry = makeRegistry();
    std::atomic<int> requests = 0;
    std::unique_ptr<http::Server> server;
    std::unique_ptr<RpcClient> client;
    std::string address;

    Peer()
    {
        server = std::make_unique<http::Server>(
            workers, http::Server::Options {}, [this](std::shared_ptr<http::Exchange> exchange) {
                ++requests;
                exchange->answer(http::makeAnswer(200, "application/json", registry->handle(exchange->request().body)));
            });
        Error reason;
        REQUIRE(server->listen(reason));
        address = "127.0.0.1:" + std::to_string(server->port());
        client = std::make_unique<RpcClient>(workers, RpcClient::Options { .worker = 1 });
    }

    ~Peer() { client.reset(); }
};

auto resultOf(std::future<RpcResult>& future) -> RpcResult
{
    // The server accepts connections on this thread.
    const auto deadline = monotonicNow() + patience;
    while (future.wait_for(1ms) != std::future_status::ready && monotonicNow() < deadline)
        QCoreApplication::processEvents();
    REQUIRE(future.wait_for(0ms) == std::future_status::ready);
    return future.get();
}

auto startCall(RpcClient& client, const std::string& peer, const std::string& method, json parameters)
    -> std::future<RpcResult>
{
    auto promise = std::make_shared<std::promise<RpcResult>>();
    client.call(peer, method, std::move(parameters), patience,
        [promise](RpcResult result) { promise->set_value(std::move(result)); });
    return promise->get_future();
}

}

TEST_CASE("JSON survives the way through the library's values")
{
    const json value = { { "a", 1 }, { "b", -1 }, { "c", 1.5 }, { "d", "x" },
        { "e", { true, nullptr, json::object() } }, { "f", 18446744073709551615ULL } };
    CHECK(internal::fromJsonCpp(internal::toJsonCpp(value)) == value);
}

TEST_CASE("a call gives its result or says at which step and peer it failed")
{
    Peer peer;
    auto good = startCall(*peer.client, peer.address, "double", { { "value", 21 } });
    CHECK(std::get<json>(resultOf(good)) == json { { "value", 42 } });
    auto refused = startCall(*peer.client, peer.address, "double", json::object());
    const auto failure = std::get<RpcFailure>(resultOf(refused));
    CHECK(failure.error.toText() == Error { "call double", peer.address, "double: value is missing" }.toText());
    auto unknown = startCall(*peer.client, peer.address, "triple", json::object());
    CHECK(std::get<RpcFailure>(resultOf(unknown)).error.step == "call triple");
    auto nobody
        = startCall(*peer.client, "127.0.0.1:" + std::to_string(testing::freeLoopbackPort()), "double", json::object());
    CHECK_FALSE(std::get<RpcFailure>(resultOf(nobody)).mayHaveRun);
    CHECK(peer.client->traffic().calls == 4);
}

TEST_CASE("calls that are due together share requests and each gets its own result")
{
    Peer peer;
    std::vector<std::future<RpcResult>> futures;
    for (int i = 0; i < 200; ++i)
        futures.push_back(startCall(*peer.client, peer.address, "double", { { "value", i } }));
    for (int i = 0; i < 200; ++i)
        CHECK(std::get<json>(resultOf(futures[static_cast<std::size_t>(i)])) == json { { "value", 2 * i } });
    CHECK(peer.requests < 200);
}

TEST_CASE("whatever bytes come, a registry gives a well-formed answer")
{
    const auto registry = makeRegistry();
    std::mt19937 random(5);
    const std::string call = R"([{"jsonrpc":"2.0","id":1,"method":"double","params":{"value":4}}])";
    for (int round = 0; round < 1000; ++round) {
        auto changed = call;
        changed[random() % changed.size()] = static_cast<char>(random());
        const auto answer = registry->handle(changed.substr(0, 1 + random() % changed.size()));
        CHECK((answer.empty() || json::accept(answer)));
    }
    CHECK(json::accept(registry->handle(std::string(200000, '['))));
}
