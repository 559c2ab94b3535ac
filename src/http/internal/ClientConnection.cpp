#include "http/internal/ClientConnection.h"

#include "base/Hash.h"
#include "http/Serialize.h"

#include <QHostAddress>
#include <algorithm>
#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace coriandergate::http::internal {

namespace {

    constexpr std::size_t maximumEarlierIds = 1024; // 8 KB a connection

    struct Endpoint {
        QHostAddress address;
        quint16 port = 0;
    };

    auto parsePeer(const std::string& peer) -> Endpoint
    {
        const auto colon = peer.rfind(':');
        if (colon == std::string::npos)
            return {};
        return { QHostAddress(QString::fromStdString(peer.substr(0, colon))),
            QString::fromStdString(peer.substr(colon + 1)).toUShort() };
    }

} // namespace

ClientConnection::ClientConnection(std::string peer, const Client::Options& options)
    : m_peer(std::move(peer))
    , m_options(options)
    , m_socket(this)
    , m_connectTimer(this)
    , m_timer(this)
{
    m_connectTimer.setSingleShot(true);
    m_timer.setSingleShot(true);
    connect(&m_connectTimer, &QTimer::timeout, this, [this] { onTimeout(); });
    connect(&m_timer, &QTimer::timeout, this, [this] { onTimeout(); });
    connect(&m_socket, &QTcpSocket::connected, this, [this] { onConnected(); });
    connect(&m_socket, &QTcpSocket::readyRead, this, [this] { onReadyRead(); });
    connect(&m_socket, &QTcpSocket::disconnected, this, [this] { onGone(); });
    connect(&m_socket, &QTcpSocket::errorOccurred, this, [this] {
        if (m_phase == Phase::Connecting)
            onGone();
    });
}

auto ClientConnection::isUsable() const -> bool
{
    if (m_phase != Phase::Idle || m_socket.state() != QAbstractSocket::ConnectedState || m_socket.bytesAvailable() > 0)
        return false;
    // What the peer sent unasked, or its end, may have arrived without having been read yet.
    char next = 0;
    const auto received
        = ::recv(static_cast<int>(m_socket.socketDescriptor()), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto ClientConnection::start(const Request& request, const Client::SendOptions& options, Client::Callback callback)
    -> void
{
    m_bytes = serializeRequest(request);
    m_answerIdHeader = options.answerIdHeader;
    m_id = request.headers.find(m_answerIdHeader).value_or("");
    m_callback = std::move(callback);
    m_received.clear();
    m_hasSent = false;
    m_parser.emplace(
        AnswerParser::Options { m_options.maximumHeaderBytes, options.maximumAnswerBytes, request.method == "HEAD" });
    m_timer.start(options.timeout);
    if (m_phase == Phase::Idle) {
        m_isReused = true;
        onConnected();
        return;
    }
    m_phase = Phase::Connecting;
    const auto endpoint = parsePeer(m_peer);
    m_connectTimer.start(std::min(m_options.connectTimeout, options.timeout));
    m_socket.connectToHost(endpoint.address, endpoint.port);
}

auto ClientConnection::onConnected() -> void
{
    m_connectTimer.stop();
    m_phase = Phase::Waiting;
    if (!m_isReused)
        m_socket.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    m_hasSent = true;
    const auto bytes = std::exchange(m_bytes, {});
    m_socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
}

auto ClientConnection::onReadyRead() -> void
{
    const auto bytes = m_socket.readAll();
    if (m_phase != Phase::Waiting) {
        // Bytes that nobody asked for could be taken for the next answer.
        close();
        return;
    }
    m_received.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
    m_received.erase(0, m_parser->feed(m_received));
    if (m_parser->progress() == ParseProgress::NeedsMore)
        return;
    if (m_parser->progress() == ParseProgress::Failed) {
        finish(failure(std::string(m_parser->failureReason())), false);
        return;
    }
    auto answer = m_parser->takeAnswer();
    if (isCopy(answer)) {
        finish(failure("the answer names an earlier request on its connection"), false);
        return;
    }
    const bool isReusable = answer.isKeepAlive && m_received.empty() && m_socket.bytesToWrite() == 0;
    finish(std::move(answer), isReusable);
}

auto ClientConnection::isCopy(const Answer& answer) const -> bool
{
    if (m_earlierIds.empty())
        return false;
    const auto named = answer.headers.find(m_answerIdHeader);
    return named && *named != m_id
        && std::find(m_earlierIds.begin(), m_earlierIds.end(), hashOf(*named)) != m_earlierIds.end();
}

auto ClientConnection::failure(std::string reason) const -> ExchangeFailure
{
    ExchangeFailure result;
    result.wasReusedConnection = m_isReused;
    result.mayHaveRun = m_hasSent;
    result.error.peer = m_peer;
    result.error.reason = std::move(reason);
    if (!m_hasSent) {
        result.stage = ExchangeFailure::Stage::Connect;
        result.error.step = "connect";
    } else if (!m_parser->hasStarted()) {
        result.stage = ExchangeFailure::Stage::AwaitAnswer;
        result.error.step = "await answer";
    } else {
        result.stage = ExchangeFailure::Stage::ReadAnswer;
        result.error.step = "read answer";
    }
    return result;
}

auto ClientConnection::onGone() -> void
{
    if (m_phase == Phase::Connecting || m_phase == Phase::Waiting) {
        auto result = failure(m_socket.errorString().toStdString());
        result.wasReset = m_phase == Phase::Waiting;
        finish(std::move(result), false);
        return;
    }
    close();
}

auto ClientConnection::onTimeout() -> void
{
    if (m_phase == Phase::Connecting || m_phase == Phase::Waiting) {
        auto result = failure("timeout");
        result.wasTimeout = true;
        finish(std::move(result), false);
        return;
    }
    close();
}

auto ClientConnection::finish(ExchangeResult result, bool isReusable) -> void
{
    m_connectTimer.stop();
    m_timer.stop();
    auto callback = std::exchange(m_callback, nullptr);
    if (isReusable) {
        if (!m_id.empty())
            m_earlierIds.push_back(hashOf(m_id));
        if (m_earlierIds.size() > maximumEarlierIds)
            m_earlierIds.pop_front();
        m_phase = Phase::Idle;
        m_timer.start(m_options.idleTimeout);
        m_onIdle();
    } else {
        close();
    }
    callback(std::move(result));
}

auto ClientConnection::abandon() -> void
{
    m_callback = nullptr;
    close();
}

auto ClientConnection::close() -> void
{
    if (std::exchange(m_phase, Phase::Closed) == Phase::Closed)
        return;
    m_connectTimer.stop();
    m_timer.stop();
    m_socket.disconnect(this);
    m_socket.abort();
    m_onClosed();
}

} // namespace coriandergate::http::internal
