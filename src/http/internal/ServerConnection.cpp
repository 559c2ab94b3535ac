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

    // Of each connection, also of one whose client sends while its request is handled.
    constexpr qint64 readBufferBytes = 32 * 1024;
    // No further request is taken while the client has so many bytes of responses to take.
    constexpr qint64 maximumUnwrittenBytes = 64 * 1024;
    // A refusal takes less, and must not be the reason to cut the connection on which it is sent.
    constexpr qint64 uncountedUnreadBytes = 1024;
    // What the handling of a request takes beside its headers and body: its state, timers and messages.
    constexpr std::size_t requestOverhead = 2 * 1024;

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
    m_id = m_state->open(*this, monotonicNow());
    m_timer.setSingleShot(true);
    connect(&m_timer, &QTimer::timeout, this, [this] { onTimeout(); });
    connect(&m_socket, &QTcpSocket::readyRead, this, [this] { readMore(); });
    connect(&m_socket, &QTcpSocket::bytesWritten, this, [this] { onBytesWritten(); });
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
    m_state->close(m_id);
    setBusy(false);
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
    if (m_phase == Phase::Handling || m_socket.bytesToWrite() >= maximumUnwrittenBytes) {
        updateBudget();
        return;
    }
    const auto bytes = m_socket.readAll();
    m_buffer.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
    parseBuffered();
}

auto ServerConnection::parseBuffered() -> void
{
    if (m_buffer.empty() || m_socket.bytesToWrite() >= maximumUnwrittenBytes)
        return;
    const auto used = m_parser.feed(m_buffer);
    m_buffer.erase(0, used);
    if (m_parser.progress() == ParseProgress::Failed) {
        refuse(m_parser.failureStatus(), m_parser.failureReason());
        return;
    }
    if (m_parser.progress() == ParseProgress::Complete) {
        // Once it is handled, it can't give way any more.
        updateBudget();
        if (m_phase != Phase::Closing && m_socket.state() == QAbstractSocket::ConnectedState)
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
    updateBudget();
}

// What waits behind a request under way can't be refused before it, so it counts with it.
auto ServerConnection::updateBudget() -> void
{
    const auto waiting = m_buffer.size() + static_cast<std::size_t>(m_socket.bytesAvailable());
    const auto unread = m_socket.bytesToWrite();
    const bool isHandling = m_phase == Phase::Handling;
    const bool mustGiveWay = m_state->set(m_id,
        { .arriving = isHandling ? 0 : waiting + m_parser.heldBytes(),
            .handled = isHandling ? m_handledBytes + waiting : 0,
            .unread = unread > uncountedUnreadBytes ? static_cast<std::size_t>(unread) : 0 },
        monotonicNow());
    if (mustGiveWay)
        release();
}

auto ServerConnection::postRelease() -> void
{
    QMetaObject::invokeMethod(
        this, [this] { release(); }, Qt::QueuedConnection);
}

auto ServerConnection::postCloseForRoom() -> void
{
    QMetaObject::invokeMethod(
        this, [this] { closeForRoom(); }, Qt::QueuedConnection);
}

auto ServerConnection::release() -> void
{
    const bool isArriving = m_phase != Phase::Handling && m_phase != Phase::Closing
        && (m_parser.hasStarted() || !m_buffer.empty() || m_socket.bytesAvailable() > 0);
    if (isArriving && m_socket.bytesToWrite() < maximumUnwrittenBytes) {
        m_state->countRefused();
        refuse(503, "other requests hold the memory of the daemon");
        updateBudget();
    } else if (m_socket.bytesToWrite() > 0) {
        m_state->countUnread();
        m_socket.abort();
    } else {
        updateBudget();
    }
}

auto ServerConnection::closeForRoom() -> void
{
    if (m_phase != Phase::Handling && m_socket.bytesAvailable() == 0)
        m_socket.abort();
    else
        updateBudget();
}

auto ServerConnection::handleRequest() -> void
{
    enter(Phase::Handling);
    m_handledBytes = m_parser.heldBytes() + requestOverhead;
    auto request = m_parser.takeRequest();
    m_state->recordRequest(m_id, monotonicNow());
    updateBudget();
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
    updateBudget();
    // Not from here: a long pipeline would nest one call deeper for each of its requests.
    QMetaObject::invokeMethod(
        this, [this] { continueReading(); }, Qt::QueuedConnection);
}

auto ServerConnection::continueReading() -> void
{
    if (m_phase != Phase::Idle)
        return;
    parseBuffered();
    if (m_phase != Phase::Handling && m_socket.bytesAvailable() > 0)
        readMore();
}

auto ServerConnection::onBytesWritten() -> void
{
    m_state->recordTaken(m_id, monotonicNow());
    shutDownWhenWritten();
    updateBudget();
    if (m_socket.bytesToWrite() < maximumUnwrittenBytes)
        continueReading();
}

auto ServerConnection::startParser() -> void
{
    m_parser = RequestParser(parserOptions(m_state->options));
    m_hasSentContinue = false;
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
    m_buffer = {};
    startParser();
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
