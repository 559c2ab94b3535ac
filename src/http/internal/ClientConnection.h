// One connection of a Client.
#pragma once

#include "http/AnswerParser.h"
#include "http/Client.h"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace coriandergate::http::internal {

// ClientConnection carries one exchange at a time. Its owner deletes it after onClosed.
class ClientConnection : public QObject {
public:
    ClientConnection(std::string peer, const Client::Options& options);

    // start() sends one request; the connection must be idle or new.
    auto start(const Request& request, const Client::SendOptions& options, Client::Callback callback) -> void;

    // abandon() drops the exchange under way without a callback and closes the connection.
    auto abandon() -> void;

    [[nodiscard]] auto peer() const -> const std::string& { return m_peer; }
    [[nodiscard]] auto isUsable() const -> bool;

    // onIdle() and onClosed() tell the owner that the connection can be reused, or is gone.
    auto onIdle(std::function<void()> callback) -> void { m_onIdle = std::move(callback); }
    auto onClosed(std::function<void()> callback) -> void { m_onClosed = std::move(callback); }

private:
    enum class Phase {
        New,
        Connecting,
        Waiting,
        Idle,
        Closed,
    };

    auto onConnected() -> void;
    auto onReadyRead() -> void;
    auto onGone() -> void;
    auto onTimeout() -> void;
    auto finish(ExchangeResult result, bool isReusable) -> void;
    auto failure(std::string reason) const -> ExchangeFailure;
    [[nodiscard]] auto isCopy(const Answer& answer) const -> bool;
    auto close() -> void;

    std::string m_peer;
    Client::Options m_options;
    QTcpSocket m_socket;
    QTimer m_connectTimer;
    QTimer m_timer;
    Phase m_phase = Phase::New;
    std::string m_bytes;
    std::string m_answerIdHeader;
    std::string m_id; // of the request under way; empty when it has none
    std::deque<std::uint64_t> m_earlierIds; // hashes of the newest
    std::string m_received;
    std::optional<AnswerParser> m_parser;
    Client::Callback m_callback;
    std::function<void()> m_onIdle;
    std::function<void()> m_onClosed;
    bool m_isReused = false;
    bool m_hasSent = false;
};

} // namespace coriandergate::http::internal
