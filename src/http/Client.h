// An HTTP/1.1 client on Qt's sockets and Boost.Beast's parser, which sends each request exactly once.
//
// It never repeats a request, follows no redirect, decodes nothing and gives an answer only when it is whole. It keeps
// a pool of idle connections a peer. A Client belongs to one thread with an event loop; each worker has its own.
//
//   Client client({});
//   auto call = client.send("127.0.0.1:9001", request, { .timeout = 2s }, [](ExchangeResult result) {
//       std::visit(visitor, std::move(result));
//   });
//   client.cancel(call); // closes the connection, which tells the peer
#pragma once

#include "http/Answer.h"
#include "http/ExchangeFailure.h"
#include "http/Request.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace coriandergate::http {

using ExchangeResult = std::variant<Answer, ExchangeFailure>;

class Client {
public:
    struct Options {
        std::chrono::milliseconds connectTimeout { 1000 };
        std::chrono::milliseconds idleTimeout { 15000 };
        std::size_t maximumIdlePerPeer = 32;
        std::size_t maximumHeaderBytes = 64 * 1024;
    };
    struct SendOptions {
        std::chrono::milliseconds timeout { 5000 }; // for the whole exchange
        std::size_t maximumAnswerBytes = 32 * 1024 * 1024;
        bool needsFreshConnection
            = false; // an idle connection may be closing unseen, which would leave the outcome unknown
        // A header that names a request, which the peer may repeat in its answer. An answer that names an earlier
        // request on its connection fails: it is a late copy.
        std::string answerIdHeader;
    };
    using Callback = std::function<void(ExchangeResult)>;
    using Call = std::uint64_t;

    explicit Client(const Options& options);

    // The destructor closes every connection; callbacks still waiting are not called.
    ~Client();

    Client(const Client&) = delete;
    auto operator=(const Client&) -> Client& = delete;

    // send() sends `request` to `peer` ("address:port" by number) and calls `callback` once, later, on this thread,
    // unless the call is cancelled before.
    auto send(const std::string& peer, const Request& request, const SendOptions& options, Callback callback) -> Call;

    // cancel() gives a call up and closes its connection. The callback is not called. Unknown calls are ignored.
    auto cancel(Call call) -> void;

    // idleConnections() is the number of connections kept for reuse.
    [[nodiscard]] auto idleConnections() const -> std::size_t;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace coriandergate::http
