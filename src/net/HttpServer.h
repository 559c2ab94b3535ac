// An HTTP/1.1 server on Boost.Asio's sockets and Boost.Beast's parser, for a program with one thread.
//
// Requests that a caller pipelines are handled side by side and answered in their order. A caller that leaves is
// noticed while its request is handled (http::Exchange::onAbandoned). The exchange's peer() names the connection for as
// long as it is open.
//
// Clients that hold much without progress give way when their connections take more than the options allow: a request
// that has not arrived whole is refused with 503, a client that doesn't read its responses is disconnected, and an idle
// connection is closed for a new one.
//
//   net::HttpServer server(io, {}, [](std::shared_ptr<http::Exchange> exchange) { exchange->answer(...); });
//   if (!server.listen("127.0.0.1:7100", reason)) ...
//   io.run();
#pragma once

#include "http/HeaderList.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace coriandergate {
struct Error;
}

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::net {

// HttpServer is used on the thread of its io_context only.
class HttpServer {
public:
    struct Options {
        std::size_t maximumHeaderBytes = 16 * 1024;
        std::size_t maximumBodyBytes = 8 * 1024 * 1024;
        std::chrono::milliseconds headerTimeout { 10000 }; // from the first byte of a request to its last
        std::chrono::milliseconds idleTimeout { 60000 };
        std::size_t maximumConnections = 2048;
        std::size_t maximumPipelined = 16; // requests of one connection that are handled at the same time
        // Of requests and of responses that clients don't take, over all connections; small requests may take a quarter
        // more (dispatch/ConnectionBudget.h).
        std::size_t maximumBufferedBytes = 64 * 1024 * 1024;
        std::size_t receiveBufferBytes = 0; // of the kernel for each connection; 0 for its default
        http::HeaderList refusalHeaders; // of answers to requests that didn't reach the handler
    };
    // ReleaseCounters count what was ended to stay within the options, since the start.
    struct ReleaseCounters {
        std::uint64_t requests = 0; // refused before they had arrived whole
        std::uint64_t unreadResponses = 0; // connections closed whose clients didn't read
        std::uint64_t idleConnections = 0; // closed for newer ones
    };
    using Handler = std::function<void(std::shared_ptr<http::Exchange>)>;
    // ConnectionClosed is told the peer() of a connection that ended.
    using ConnectionClosed = std::function<void(const std::string& peer)>;

    HttpServer(boost::asio::io_context& io, const Options& options, Handler handler);

    // The destructor closes every connection.
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    auto operator=(const HttpServer&) -> HttpServer& = delete;

    // listen() opens the port; false with a reason when it can't.
    [[nodiscard]] auto listen(const std::string& address, Error& reason) -> bool;

    // setOptions() holds from the next request of each connection on.
    auto setOptions(const Options& options) -> void;

    auto onConnectionClosed(ConnectionClosed callback) -> void;

    // beginDrain() lets each connection end with its next answer.
    auto beginDrain() -> void;

    // finishDrain() closes the port and every connection on which no request is under way or has begun to arrive.
    auto finishDrain() -> void;

    // port() is the port that is listened on; for tests that ask for port 0.
    [[nodiscard]] auto port() const -> std::uint16_t;

    // openRequests() is the number of requests that wait for their answer or for it to be written.
    [[nodiscard]] auto openRequests() const -> std::size_t;

    [[nodiscard]] auto connections() const -> std::size_t;

    // bufferedBytes() is what all connections hold of requests and responses.
    [[nodiscard]] auto bufferedBytes() const -> std::size_t;

    [[nodiscard]] auto released() const -> const ReleaseCounters&;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace coriandergate::net
