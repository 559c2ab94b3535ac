// A server for tests that answers each request with the bytes that a test chooses, however wrong.
//
//   RawServer server(io, { { "HTTP/1.1 2", RawServer::Then::Close } });
//   client.send(server.address(), ...);
//   CHECK(server.requests() == 1);
//
// It runs on the test's io_context. Servers beside code that runs in Qt's event loop are QTcpServers, as that loop
// drives no io_context.
#pragma once

#include "http/Request.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriandergate::http {
class RequestParser;
}

namespace coriandergate::testing {

// RawServer is used on the thread of its io_context, except for its counts.
class RawServer {
public:
    enum class Then {
        Keep,
        Close, // in order
        Reset,
        EndThenReset, // ends the sending side in order first
    };

    struct Reply {
        std::string bytes;
        Then then = Then::Keep;
        std::chrono::milliseconds pause { 0 }; // between the bytes and `then`
    };
    using Handler = std::function<Reply(const http::Request&)>;

    // RawServer() listens at `address`, of which port 0 stands for any free one; it throws if that is not possible.
    RawServer(boost::asio::io_context& io, const std::string& address, Handler handler);

    // This overload listens on a free port of loopback.
    RawServer(boost::asio::io_context& io, Handler handler);

    // This overload answers each request with the next of `replies`, and all further requests with the last.
    RawServer(boost::asio::io_context& io, std::vector<Reply> replies);

    // respondToHeads() makes the server respond, from now on, as soon as it has read the head of a request. It reads
    // nothing more on that connection, which stays open if the reply says Then::Keep.
    auto respondToHeads() -> void { m_respondsToHeads = true; }

    [[nodiscard]] auto address() const -> std::string;

    // connections() and requests() count what arrived, requests when they are whole. Safe from any thread.
    [[nodiscard]] auto connections() const -> int { return m_connections; }
    [[nodiscard]] auto requests() const -> int { return m_requests; }

private:
    struct Connection;

    auto accept() -> void;
    auto read(const std::shared_ptr<Connection>& connection) -> void;
    auto parse(const std::shared_ptr<Connection>& connection) -> void;
    // respond() returns whether the connection serves further requests.
    auto respond(const std::shared_ptr<Connection>& connection) -> bool;
    [[nodiscard]] auto mayRespond(const http::RequestParser& parser) const -> bool;

    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    bool m_respondsToHeads = false;
    std::vector<std::shared_ptr<Connection>> m_unread; // kept, without reading on
    std::atomic<int> m_connections = 0;
    std::atomic<int> m_requests = 0;
};

} // namespace coriandergate::testing
