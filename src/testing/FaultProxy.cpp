#include "testing/FaultProxy.h"

#include "base/Error.h"

#include <QHostAddress>
#include <QNetworkDatagram>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <QUdpSocket>

#include <algorithm>

namespace coriandergate::testing {

namespace {

    enum class Direction {
        ToUpstream,
        ToCaller,
    };

    // Passage says what becomes of one piece of a stream.
    struct Passage {
        qsizetype bytes = 0; // let through, of the piece's start
        bool isCutAfter = false;
        std::chrono::milliseconds delay {};
    };

    struct Piece {
        Direction direction;
        std::uint64_t bytesBefore; // relayed earlier in this direction of this connection
        qsizetype size;
    };

    // PassageOf decides about one piece under each fault.
    struct PassageOf {
        Piece piece;

        auto operator()(const NoFault&) const -> Passage { return all(); }
        auto operator()(const DelayFault& fault) const -> Passage { return { piece.size, false, fault.delay }; }
        auto operator()(const CutRequestFault& fault) const -> Passage
        {
            return piece.direction == Direction::ToUpstream ? cutAfter(fault.afterBytes) : all();
        }
        auto operator()(const CutAnswerFault& fault) const -> Passage
        {
            return piece.direction == Direction::ToCaller ? cutAfter(fault.afterBytes) : all();
        }
        auto operator()(const HalfAnswerFault&) const -> Passage
        {
            return piece.direction == Direction::ToCaller ? Passage { piece.size / 2, true, {} } : all();
        }
        auto operator()(const DropRequestsFault&) const -> Passage
        {
            return piece.direction == Direction::ToUpstream ? Passage {} : all();
        }
        auto operator()(const DropAnswersFault&) const -> Passage
        {
            return piece.direction == Direction::ToCaller ? Passage {} : all();
        }
        auto operator()(const RefuseFault&) const -> Passage { return { 0, true, {} }; }
        auto operator()(const StallFault&) const -> Passage { return {}; }

    private:
        [[nodiscard]] auto all() const -> Passage { return { piece.size, false, {} }; }

        [[nodiscard]] auto cutAfter(std::uint64_t limit) const -> Passage
        {
            const auto left = limit > piece.bytesBefore ? limit - piece.bytesBefore : 0;
            const auto bytes = std::min<std::uint64_t>(left, static_cast<std::uint64_t>(piece.size));
            return { static_cast<qsizetype>(bytes), bytes == left, {} };
        }
    };

}

struct FaultProxy::State {
    Options options;
    Fault fault;
    QTcpServer server;
    QUdpSocket datagrams;
    std::uint64_t bytesToUpstream = 0;
    std::uint64_t bytesToCaller = 0;

    auto acceptConnections() -> void;
    auto relayDatagrams() -> void;
    auto connectSides(QTcpSocket* from, QTcpSocket* to, Direction direction) -> void;
    auto count(Direction direction) -> std::uint64_t&
    {
        return direction == Direction::ToUpstream ? bytesToUpstream : bytesToCaller;
    }
};

auto FaultProxy::State::acceptConnections() -> void
{
    while (auto* const caller = server.nextPendingConnection()) {
        if (std::holds_alternative<RefuseFault>(fault)) {
            caller->abort();
            caller->deleteLater();
            continue;
        }
        // Both sides live until both are closed: what was written to one may still be on its way when the other ends.
        auto* const pair = new QObject(&server);
        caller->setParent(pair);
        auto* const upstream = new QTcpSocket(pair);
        upstream->connectToHost(QHostAddress(QString::fromStdString(options.upstreamAddress)), options.upstreamPort);
        connectSides(caller, upstream, Direction::ToUpstream);
        connectSides(upstream, caller, Direction::ToCaller);
        const auto deleteWhenClosed = [pair, caller, upstream] {
            if (caller->state() == QAbstractSocket::UnconnectedState
                && upstream->state() == QAbstractSocket::UnconnectedState)
                pair->deleteLater();
        };
        QObject::connect(caller, &QTcpSocket::disconnected, pair, deleteWhenClosed);
        QObject::connect(upstream, &QTcpSocket::disconnected, pair, deleteWhenClosed);
    }
}

auto FaultProxy::State::connectSides(QTcpSocket* from, QTcpSocket* to, Direction direction) -> void
{
    auto relayed = std::make_shared<std::uint64_t>(0);
    const auto relay = [this, from, to, direction, relayed] {
        const auto bytes = from->readAll();
        const auto passage = std::visit(PassageOf { { direction, *relayed, bytes.size() } }, fault);
        *relayed += static_cast<std::uint64_t>(passage.bytes);
        count(direction) += static_cast<std::uint64_t>(passage.bytes);
        if (passage.bytes > 0)
            QTimer::singleShot(passage.delay, to, [to, piece = bytes.left(passage.bytes)] { to->write(piece); });
        if (passage.isCutAfter) {
            QTimer::singleShot(passage.delay, to, [from, to] {
                to->disconnectFromHost();
                from->disconnectFromHost();
            });
        }
    };
    QObject::connect(from, &QTcpSocket::readyRead, to, relay);
    // The other side ends only after what was delayed on the way has been written.
    QObject::connect(from, &QTcpSocket::disconnected, to, [this, to] {
        const auto* const delayed = std::get_if<DelayFault>(&fault);
        const auto wait = delayed != nullptr ? delayed->delay : std::chrono::milliseconds(0);
        QTimer::singleShot(wait, to, [to] { to->disconnectFromHost(); });
    });
    QObject::connect(from, &QTcpSocket::errorOccurred, to, [from, to](QAbstractSocket::SocketError error) {
        if (error == QAbstractSocket::ConnectionRefusedError && from->state() != QAbstractSocket::ConnectedState)
            to->abort();
    });
}

auto FaultProxy::State::relayDatagrams() -> void
{
    while (datagrams.hasPendingDatagrams()) {
        const auto bytes = datagrams.receiveDatagram().data();
        const auto passage = std::visit(PassageOf { { Direction::ToUpstream, 0, bytes.size() } }, fault);
        if (passage.bytes < bytes.size())
            continue;
        bytesToUpstream += static_cast<std::uint64_t>(bytes.size());
        QTimer::singleShot(passage.delay, &datagrams, [this, bytes] {
            datagrams.writeDatagram(
                bytes, QHostAddress(QString::fromStdString(options.upstreamAddress)), options.upstreamPort);
        });
    }
}

FaultProxy::FaultProxy(const Options& options)
    : m_state(std::make_unique<State>())
{
    m_state->options = options;
    auto* const state = m_state.get();
    QObject::connect(
        &state->server, &QTcpServer::newConnection, &state->server, [state] { state->acceptConnections(); });
    QObject::connect(
        &state->datagrams, &QUdpSocket::readyRead, &state->datagrams, [state] { state->relayDatagrams(); });
}

FaultProxy::~FaultProxy() = default;

auto FaultProxy::start(Error& reason) -> bool
{
    const QHostAddress loopback(QString::fromStdString(m_state->options.listenAddress));
    const auto isListening = m_state->server.listen(loopback, m_state->options.listenPort)
        && m_state->datagrams.bind(loopback, m_state->server.serverPort());
    if (!isListening)
        reason = { "listen", m_state->options.listenAddress + ":" + std::to_string(m_state->options.listenPort),
            m_state->server.errorString().toStdString() + m_state->datagrams.errorString().toStdString() };
    return isListening;
}

auto FaultProxy::port() const -> std::uint16_t { return m_state->server.serverPort(); }

auto FaultProxy::setFault(const Fault& fault) -> void { m_state->fault = fault; }

auto FaultProxy::bytesToUpstream() const -> std::uint64_t { return m_state->bytesToUpstream; }

auto FaultProxy::bytesToCaller() const -> std::uint64_t { return m_state->bytesToCaller; }

} // namespace coriandergate::testing
