// An HTTP/1.1 client on Boost.Asio's sockets and Boost.Beast's parser, which sends each request exactly once.
//
// It never repeats a request, follows no redirect and decodes nothing. An answer is given only when it is whole; one
// without a length is whole when the peer ended the connection in order, not when it was reset. It keeps idle
// connections and drops those on which anything arrives unasked.
//
//   net::HttpClient client(io, {});
//   const auto call = client.send("10.1.0.12:7780", bytes, { .timeout = 2s }, [](HttpClient::Result result) { ... });
//   client.cancel(call); // closes the connection, which tells the peer
//
// With `keepsConnection` a call goes on after its answer: sendNext() sends another request on the same connection, and
// release() gives the connection back.
#pragma once

#include "base/Clock.h"
#include "http/Answer.h"
#include "http/ExchangeFailure.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace coriandergate::net {

// HttpClient is used on the thread of its io_context only.
class HttpClient {
public:
    struct Options {
        std::chrono::milliseconds connectTimeout { 1000 };
        std::chrono::milliseconds idleTimeout { 8000 }; // for connections whose peer states none
        std::size_t maximumIdlePerPeer = 16;
        // Of all answers that are being received. Beyond it the larger ones fail, so that peers which send bytes
        // without end don't exhaust the memory.
        std::size_t maximumBufferedBytes = 64 * 1024 * 1024;
        std::chrono::milliseconds unacknowledgedTimeout { 2000 }; // sent bytes that no peer confirms end a connection
        // Called for each answer that is skipped because it belongs to an earlier request; may be empty.
        std::function<void(const http::Answer&)> onSkippedAnswer;
        double idlePart = 0.6; // of the idle time that the peer states; the rest covers the way and its clock
    };
    struct SendOptions {
        std::chrono::milliseconds timeout { 5000 }; // for the whole exchange, unless stallTimeout is set
        // If set, `timeout` holds until the answer begins. Then the exchange may last as long as bytes keep arriving
        // within this time, and for longestTime in all, so that a large answer over a loaded link is not asked for
        // again and again.
        std::optional<std::chrono::milliseconds> stallTimeout;
        std::chrono::milliseconds longestTime { 8000 };
        std::size_t maximumAnswerBytes = 32 * 1024 * 1024;
        bool isHead = false;
        bool mayEndWithConnection = false;
        bool keepsConnection = false;
        std::chrono::milliseconds maximumIdleAge { 600000 }; // a connection idle for longer is not taken
        std::function<void()> onSending; // called when the first byte goes out, once connected; may be empty
        std::string answerIdHeader; // answers that bear another value in this header belong to earlier requests
        std::string answerId;
    };
    using Result = std::variant<http::Answer, http::ExchangeFailure>;
    using Callback = std::function<void(Result)>;
    using Call = std::uint64_t;

    HttpClient(boost::asio::io_context& io, const Options& options);

    // The destructor closes every connection; callbacks still waiting are not called.
    ~HttpClient();

    HttpClient(const HttpClient&) = delete;
    auto operator=(const HttpClient&) -> HttpClient& = delete;

    // send() sends `bytes`, one whole request, to `peer` ("address:port") and calls `callback` once, later, unless the
    // call is cancelled before.
    auto send(const std::string& peer, std::string bytes, const SendOptions& options, Callback callback) -> Call;

    // sendNext() sends another request on the connection of `call`, whose last answer came and which keeps it. False
    // when the connection is gone; then nothing was sent and the callback is not called.
    [[nodiscard]] auto sendNext(Call call, std::string bytes, const SendOptions& options, Callback callback) -> bool;

    // release() ends a call that keeps its connection; the connection may serve another.
    auto release(Call call) -> void;

    // cancel() gives a call up and closes its connection. The callback is not called. Unknown calls are ignored.
    auto cancel(Call call) -> void;

    // connectionsOpened() counts the connections opened so far; for metrics.
    [[nodiscard]] auto connectionsOpened() const -> std::uint64_t;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace coriandergate::net
