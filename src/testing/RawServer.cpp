#include "testing/RawServer.h"

#include "base/Error.h"
#include "http/RequestParser.h"
#include "net/Endpoint.h"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>

namespace coriandergate::testing {

using boost::asio::ip::tcp;

namespace {

    auto makeParser() -> http::RequestParser
    {
        constexpr std::size_t maximumBodyBytes = 64 * 1024 * 1024;
        return http::RequestParser({ .maximumBodyBytes = maximumBodyBytes });
    }

    auto inTurn(std::vector<RawServer::Reply> replies) -> RawServer::Handler
    {
        return [replies = std::move(replies), next = std::size_t(0)](
                   const http::Request&) mutable { return replies[std::min(next++, replies.size() - 1)]; };
    }

} // namespace

struct RawServer::Connection {
    explicit Connection(tcp::socket accepted)
        : socket(std::move(accepted))
        , timer(socket.get_executor())
    {
    }

    auto end(Then then) -> void
    {
        boost::system::error_code ignored; // the client may have closed the connection
        if (then == Then::Keep)
            return;
        if (then == Then::EndThenReset)
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        if (then != Then::Close)
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }

    tcp::socket socket;
    boost::asio::steady_timer timer;
    http::RequestParser parser = makeParser();
    std::array<char, 4096> buffer {};
    std::string unparsed;
};

RawServer::RawServer(boost::asio::io_context& io, const std::string& address, Handler handler)
    : m_acceptor(io)
    , m_handler(std::move(handler))
{
    Error reason;
    const auto endpoint = net::parseEndpoint(address, reason);
    if (!endpoint)
        throw std::runtime_error(reason.toText());
    m_acceptor.open(endpoint->protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(*endpoint);
    m_acceptor.listen();
    accept();
}

RawServer::RawServer(boost::asio::io_context& io, Handler handler)
    : RawServer(io, "127.0.0.1:0", std::move(handler))
{
}

RawServer::RawServer(boost::asio::io_context& io, std::vector<Reply> replies)
    : RawServer(io, inTurn(std::move(replies)))
{
}

auto RawServer::address() const -> std::string
{
    const auto endpoint = m_acceptor.local_endpoint();
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

auto RawServer::accept() -> void
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error)
            return;
        ++m_connections;
        read(std::make_shared<Connection>(std::move(socket)));
        accept();
    });
}

auto RawServer::read(const std::shared_ptr<Connection>& connection) -> void
{
    connection->socket.async_read_some(boost::asio::buffer(connection->buffer),
        [this, connection](const boost::system::error_code& error, std::size_t bytes) {
            if (error)
                return;
            connection->unparsed.append(connection->buffer.data(), bytes);
            parse(connection);
        });
}

auto RawServer::mayRespond(const http::RequestParser& parser) const -> bool
{
    return parser.progress() == http::ParseProgress::Complete || (m_respondsToHeads && parser.hasHeaders());
}

auto RawServer::parse(const std::shared_ptr<Connection>& connection) -> void
{
    while (true) {
        connection->unparsed.erase(0, connection->parser.feed(connection->unparsed));
        if (!mayRespond(connection->parser))
            break;
        if (!respond(connection))
            return;
    }
    read(connection);
}

auto RawServer::respond(const std::shared_ptr<Connection>& connection) -> bool
{
    ++m_requests;
    const auto reply = m_handler(connection->parser.takeRequest());
    connection->parser = makeParser();
    boost::system::error_code ignored; // the client may have closed the connection
    boost::asio::write(connection->socket, boost::asio::buffer(reply.bytes), ignored);
    if (reply.then == Then::Keep && !m_respondsToHeads)
        return true;
    if (reply.then == Then::Keep)
        m_unread.push_back(connection);
    if (reply.pause.count() == 0) {
        connection->end(reply.then);
        return false;
    }
    connection->timer.expires_after(reply.pause);
    connection->timer.async_wait(
        [connection, then = reply.then](const boost::system::error_code&) { connection->end(then); });
    return false;
}

} // namespace coriandergate::testing
