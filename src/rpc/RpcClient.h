// Calls other daemons: one connection a peer, and calls that are due while one is under way go together in a batch.
//
//   client.call("10.0.0.8:7101", "share.acquire", { { "account", "acme" } }, 500ms, [](RpcResult result) {
//       if (const auto* const answer = std::get_if<nlohmann::json>(&result))
//           use(*answer);
//   });
#pragma once

#include "rpc/RpcFailure.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

namespace coriandergate::http {
class WorkerPool;
}

namespace coriandergate::rpc {

struct RpcTraffic;

using RpcResult = std::variant<nlohmann::json, RpcFailure>;

// RpcClient lives on one worker. Nothing is ever sent twice.
class RpcClient {
public:
    struct Options {
        std::size_t worker = 0; // that sends, receives and calls back
        std::size_t maximumBatch = 64; // calls in one request
        std::size_t maximumQueue = 4096; // calls that wait for one peer
        std::size_t maximumAnswerBytes = 4 * 1024 * 1024;
        std::chrono::milliseconds connectTimeout { 1000 };
        std::chrono::milliseconds idleTimeout { 60000 };
    };
    using Callback = std::function<void(RpcResult)>;

    // RpcClient() keeps a reference to `workers`, which must live longer. Not on a worker.
    RpcClient(http::WorkerPool& workers, const Options& options);

    // The destructor closes the connections; callbacks still waiting are not called. Not on a worker.
    ~RpcClient();

    RpcClient(const RpcClient&) = delete;
    auto operator=(const RpcClient&) -> RpcClient& = delete;

    // call() sends the call of `method` to `peer` (IP:port) and calls `callback` once, later, on the client's worker,
    // within `timeout`. Safe from any thread.
    auto call(const std::string& peer, const std::string& method, nlohmann::json parameters,
        std::chrono::milliseconds timeout, Callback callback) -> void;

    // traffic() counts what this client sent and received.
    [[nodiscard]] auto traffic() const -> const RpcTraffic&;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace coriandergate::rpc
