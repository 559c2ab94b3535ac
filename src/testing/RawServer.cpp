#include "testing/RawServer.h"

#include "base/Error.h"
#include "http/RequestParser.h"
#include "net/Endpoint.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <stdexcept>

namespace coriandergate::testing {

using boost::asio::ip::tcp;

namespace {

    auto inTurn(std::vector<RawServer::Reply> replies) -> RawServer::Handler
    {
        return [replies = std::move(replies), next = std::size_t(0)](
                   const http::Request&) mutable { return replies[std::min(next++, replies.size() - 1)]; };
    }

} // namespace

struct RawServer::Connection {
    explicit Connection(tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    tcp::socket socket;
    http::RequestParser parser { {} };
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

auto RawServer::parse(const std::shared_ptr<Connection>& connection) -> void
{
    while (true) {
        connection->unparsed.erase(0, connection->parser.feed(connection->unparsed));
        if (connection->parser.progress() != http::ParseProgress::Complete)
            break;
        if (!respond(*connection))
            return;
    }
    read(connection);
}

auto RawServer::respond(Connection& connection) -> bool
{
    ++m_requests;
    const auto reply = m_handler(connection.parser.takeRequest());
    connection.parser = http::RequestParser({});
    boost::system::error_code ignored; // the client may have closed the connection
    boost::asio::write(connection.socket, boost::asio::buffer(reply.bytes), ignored);
    if (reply.then == Then::Keep)
        return true;
    if (reply.then == Then::Reset)
        connection.socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    connection.socket.close(ignored);
    return false;
}

} // namespace coriandergate::testing
