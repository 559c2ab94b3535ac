#include "net/HttpServer.h"

#include "base/Error.h"
#include "http/Exchange.h"
#include "net/Endpoint.h"
#include "net/internal/HttpServerConnection.h"
#include "net/internal/HttpServerState.h"

#include <fcntl.h>

namespace coriandergate::net {

using boost::asio::ip::tcp;
using internal::HttpServerConnection;

struct HttpServer::State : internal::HttpServerState, std::enable_shared_from_this<HttpServer::State> {
    explicit State(boost::asio::io_context& ioContext)
        : io(ioContext)
        , acceptor(ioContext)
    {
    }

    auto accept() -> void
    {
        acceptor.async_accept([self = shared_from_this()](const boost::system::error_code& error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted || !self->acceptor.is_open())
                return;
            if (!error)
                self->open(std::move(socket));
            self->accept();
        });
    }

    auto open(tcp::socket socket) -> void
    {
        if (connections.size() >= options.maximumConnections) {
            boost::system::error_code ignored; // the connection is refused either way
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            return;
        }
        const auto connection = std::make_shared<HttpServerConnection>(*this, std::move(socket));
        connections.insert(connection);
        connection->start();
    }

    boost::asio::io_context& io;
    tcp::acceptor acceptor;
};

HttpServer::HttpServer(boost::asio::io_context& io, const Options& options, Handler handler)
    : m_state(std::make_shared<State>(io))
{
    m_state->options = options;
    m_state->handler = std::move(handler);
}

HttpServer::~HttpServer()
{
    boost::system::error_code ignored; // nothing is left to be told
    m_state->acceptor.close(ignored);
    m_state->handler = nullptr;
    const auto connections = m_state->connections;
    for (const auto& connection : connections)
        connection->close();
}

auto HttpServer::listen(const std::string& address, Error& reason) -> bool
{
    const auto endpoint = parseEndpoint(address, reason);
    if (!endpoint)
        return false;
    boost::system::error_code error;
    auto& acceptor = m_state->acceptor;
    acceptor.open(endpoint->protocol(), error);
    // A process that this one starts, as tests do, must not keep the port.
    if (!error)
        ::fcntl(acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error) {
        reason = { "listen", address, error.message() };
        return false;
    }
    m_state->accept();
    return true;
}

auto HttpServer::setOptions(const Options& options) -> void { m_state->options = options; }

auto HttpServer::onConnectionClosed(ConnectionClosed callback) -> void
{
    m_state->connectionClosed = std::move(callback);
}

auto HttpServer::beginDrain() -> void { m_state->isDraining = true; }

auto HttpServer::finishDrain() -> void
{
    beginDrain();
    boost::system::error_code ignored; // a port that is closed already stays closed
    m_state->acceptor.close(ignored);
    const auto connections = m_state->connections;
    for (const auto& connection : connections)
        connection->closeWhenIdle();
}

auto HttpServer::port() const -> std::uint16_t
{
    boost::system::error_code error;
    const auto endpoint = m_state->acceptor.local_endpoint(error);
    return error ? 0 : endpoint.port();
}

auto HttpServer::openRequests() const -> std::size_t { return m_state->openRequests; }

auto HttpServer::connections() const -> std::size_t { return m_state->connections.size(); }

} // namespace coriandergate::net
