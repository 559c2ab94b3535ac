#include "net/HttpServer.h"

#include "base/Error.h"
#include "http/Exchange.h"
#include "net/Endpoint.h"
#include "net/internal/HttpServerConnection.h"
#include "net/internal/HttpServerState.h"

#include <boost/asio/steady_timer.hpp>
#include <fcntl.h>

namespace coriandergate::net {

using boost::asio::ip::tcp;
using internal::HttpServerConnection;
using std::chrono::steady_clock;

namespace {

    // No further connection can be accepted for want of descriptors; trying again at once would only burn time.
    constexpr std::chrono::milliseconds acceptRetryDelay { 10 };

} // namespace

struct HttpServer::State : internal::HttpServerState, std::enable_shared_from_this<HttpServer::State> {
    State(boost::asio::io_context& ioContext, const Options& serverOptions)
        : internal::HttpServerState(serverOptions)
        , acceptor(ioContext)
        , acceptTimer(ioContext)
    {
    }

    auto accept() -> void
    {
        acceptor.async_accept([self = shared_from_this()](const boost::system::error_code& error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted || !self->acceptor.is_open())
                return;
            if (error) {
                self->acceptLater();
                return;
            }
            self->open(std::move(socket));
            self->accept();
        });
    }

    auto acceptLater() -> void
    {
        releaseConnection(steady_clock::now());
        acceptTimer.expires_after(acceptRetryDelay);
        acceptTimer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
            if (!error && self->acceptor.is_open())
                self->accept();
        });
    }

    auto open(tcp::socket socket) -> void
    {
        const auto now = steady_clock::now();
        releaseConnection(now);
        if (!budget.hasRoomForConnection()) {
            boost::system::error_code ignored; // the connection is refused either way
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            return;
        }
        const auto number = nextConnection++;
        const auto connection = std::make_shared<HttpServerConnection>(*this, std::move(socket), number);
        connections.emplace(number, connection);
        budget.open(number, now);
        connection->start();
    }

    tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
};

HttpServer::HttpServer(boost::asio::io_context& io, const Options& options, Handler handler)
    : m_state(std::make_shared<State>(io, options))
{
    m_state->handler = std::move(handler);
}

HttpServer::~HttpServer()
{
    boost::system::error_code ignored; // nothing is left to be told
    m_state->acceptor.close(ignored);
    m_state->acceptTimer.cancel();
    m_state->handler = nullptr;
    const auto connections = m_state->connections;
    for (const auto& [number, connection] : connections)
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
    // Before listen(), so that the window that clients are offered fits.
    const auto receiveBytes = m_state->options.receiveBufferBytes;
    if (!error && receiveBytes > 0)
        acceptor.set_option(tcp::acceptor::receive_buffer_size(static_cast<int>(receiveBytes)), error);
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

auto HttpServer::setOptions(const Options& options) -> void { m_state->setOptions(options); }

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
    for (const auto& [number, connection] : connections)
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

auto HttpServer::bufferedBytes() const -> std::size_t { return m_state->budget.bytes(); }

auto HttpServer::released() const -> const ReleaseCounters& { return m_state->released; }

} // namespace coriandergate::net
