#include "http/internal/ServerConnection.h"

#include "http/Answer.h"
#include "http/Exchange.h"
#include "http/Problem.h"
#include "http/Serialize.h"
#include "http/internal/ServerState.h"

#include <QHostAddress>
#include <QPointer>
#include <sys/socket.h>

namespace coriandergate::http::internal {

namespace {

    constexpr qint64 readBufferBytes = 256 * 1024;

    auto parserOptions(const Server::Options& options) -> RequestParser::Options
    {
        return { options.maximumHeaderBytes, options.maximumBodyBytes };
    }

} // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerState> state, std::size_t worker, qintptr descriptor)
    : m_state(std::move(state))
    , m_worker(worker)
    , m_socket(this)
    , m_timer(this)
    , m_parser(parserOptions(m_state->options))
{
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] { onTimeout(); });
    connect(&m_socket, &QTcpSocket::readyRead, this, [this] { readMore(); });
    connect(&m_socket, &QTcpSocket::bytesWritten, this, [this] { shutDownWhenWritten(); });
    connect(&m_socket, &QTcpSocket::disconnected, this, [this] { onDisconnected(); });
    if (!m_socket.setSocketDescriptor(descriptor)) {
        onDisconnected();
        return;
    }
    m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_socket.setReadBufferSize(readBufferBytes);
    m_peer = m_socket.peerAddress().toString().toStdString() + ":" + std::to_string(m_socket.peerPort());
    enter(Phase::Idle);
}

ServerConnection::~ServerConnection()
{
    m_socket.disconnect(this);
    setBusy(false);
    m_state->bufferedBytes -= m_accountedBytes;
    --m_state->connections;
}

auto ServerConnection::closeWhenIdle() -> void
{
    if (m_phase != Phase::Idle)
        return;
    // A request that has already arrived is served rather than cut.
    if (m_socket.bytesAvailable() > 0 || m_socket.waitForReadyRead(0))
        readMore();
    if (m_phase == Phase::Idle)
        closeAfterWrite();
}

auto ServerConnection::enter(Phase phase) -> void
{
    m_phase = phase;
    setBusy(phase != Phase::Idle);
    const auto& options = m_state->options;
    switch (phase) {
    case Phase::Idle:
        m_timer.start(options.idleTimeout);
        break;
    case Phase::Headers:
        m_timer.start(options.headerTimeout);
        break;
    case Phase::Body:
        m_timer.start(options.bodyTimeout);
        break;
    case Phase::Handling:
        m_timer.stop();
        break;
    case Phase::Closing:
        m_timer.start(options.writeTimeout);
        break;
    }
}

auto ServerConnection::setBusy(bool isBusy) -> void
{
    if (m_isBusy == isBusy)
        return;
    m_isBusy = isBusy;
    if (isBusy)
        ++m_state->busyConnections;
    else
        --m_state->busyConnections;
}

auto ServerConnection::readMore() -> void
{
    if (m_phase == Phase::Closing) {
        m_socket.readAll();
        return;
    }
    // While a request is handled, what the caller pipelines behind it waits in the socket, whose buffer is bounded.
    if (m_phase == Phase::Handling)
        return;
    const auto bytes = m_socket.readAll();
    m_buffer.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
    parseBuffered();
}

auto ServerConnection::parseBuffered() -> void
{
    if (m_buffer.empty())
        return;
    const auto used = m_parser.feed(m_buffer);
    m_buffer.erase(0, used);
    if (m_parser.progress() == ParseProgress::Failed) {
        refuse(m_parser.failureStatus(), m_parser.failureReason());
        return;
    }
    if (!accountBuffered()) {
        refuse(503, "the daemon holds as many request bytes as it may");
        return;
    }
    if (m_parser.progress() == ParseProgress::Complete) {
        handleRequest();
        return;
    }
    if (m_parser.awaitsContinue() && !m_hasSentContinue) {
        m_hasSentContinue = true;
        m_socket.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (m_phase == Phase::Idle)
        enter(Phase::Headers);
    if (m_phase == Phase::Headers && m_parser.hasHeaders())
        enter(Phase::Body);
}

auto ServerConnection::accountBuffered() -> bool
{
    const auto bytes = m_buffer.size() + m_parser.bodyBytes();
    m_state->bufferedBytes += bytes - m_accountedBytes;
    m_accountedBytes = bytes;
    return m_state->bufferedBytes <= m_state->options.maximumBufferedBytes;
}

auto ServerConnection::handleRequest() -> void
{
    enter(Phase::Handling);
    auto request = m_parser.takeRequest();
    const bool isHead = request.method == "HEAD";
    const bool isKeepAlive = request.isKeepAlive;
    QPointer<ServerConnection> self(this);
    auto exchange = std::make_shared<Exchange>(
        std::move(request), m_peer, m_worker, [self, isHead, isKeepAlive](Answer&& answer) -> void {
            if (self)
                self->sendAnswer(std::move(answer), isHead, isKeepAlive);
        });
    m_exchange = exchange;
    m_state->handler(std::move(exchange));
}

auto ServerConnection::sendAnswer(Answer&& answer, bool isHead, bool isKeepAlive) -> void
{
    answer.isKeepAlive = isKeepAlive && !m_state->isDraining;
    const auto bytes = serializeAnswer(answer, isHead);
    m_socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    if (!answer.isKeepAlive) {
        closeAfterWrite();
        return;
    }
    startParser();
    enter(Phase::Idle);
    // Not from here: a long pipeline would nest one call deeper for each of its requests.
    QMetaObject::invokeMethod(
        this,
        [this] {
            if (m_phase != Phase::Idle)
                return;
            parseBuffered();
            if (m_phase != Phase::Handling && m_socket.bytesAvailable() > 0)
                readMore();
        },
        Qt::QueuedConnection);
}

auto ServerConnection::startParser() -> void
{
    m_parser = RequestParser(parserOptions(m_state->options));
    m_hasSentContinue = false;
    m_state->bufferedBytes -= m_accountedBytes;
    m_accountedBytes = 0;
}

auto ServerConnection::refuse(int status, std::string_view reason) -> void
{
    auto answer = makeAnswer(status, problemContentType, problemBody(status, reason));
    answer.headers.add("Coriandergate-Outcome", "not-run");
    answer.isKeepAlive = false;
    const auto bytes = serializeAnswer(answer, false);
    m_socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    closeAfterWrite();
}

// Closing a socket that holds unread bytes resets the connection, and the reset can overtake the answer. So only the
// sending side is closed; the rest is read and dropped until the caller closes its side or a timeout ends it.
auto ServerConnection::closeAfterWrite() -> void
{
    enter(Phase::Closing);
    m_buffer.clear();
    m_socket.readAll();
    shutDownWhenWritten();
}

auto ServerConnection::shutDownWhenWritten() -> void
{
    if (m_phase != Phase::Closing || m_socket.bytesToWrite() > 0 || m_isShutDown)
        return;
    m_isShutDown = true;
    ::shutdown(static_cast<int>(m_socket.socketDescriptor()), SHUT_WR);
    constexpr std::chrono::milliseconds lingerTimeout { 2000 };
    m_timer.start(lingerTimeout);
}

auto ServerConnection::onDisconnected() -> void
{
    m_timer.stop();
    if (const auto exchange = m_exchange.lock())
        exchange->abandon();
    deleteLater();
}

auto ServerConnection::onTimeout() -> void
{
    switch (m_phase) {
    case Phase::Headers:
    case Phase::Body:
        refuse(408, "the request did not arrive in time");
        return;
    case Phase::Idle:
        closeAfterWrite();
        return;
    case Phase::Handling:
        return;
    case Phase::Closing:
        m_socket.abort();
        return;
    }
}

} // namespace coriandergate::http::internal
