// One connection of a Server, on one worker thread.
#pragma once

#include "http/RequestParser.h"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>
#include <cstddef>
#include <memory>
#include <string>

namespace coriandergate::http {
class Exchange;
struct Answer;
}

namespace coriandergate::http::internal {

struct ServerState;

// ServerConnection deletes itself when its socket closes.
class ServerConnection : public QObject {
public:
    ServerConnection(std::shared_ptr<ServerState> state, std::size_t worker, qintptr descriptor);
    ~ServerConnection() override;

    // closeWhenIdle() closes the connection now if no request is under way, else after its answer.
    auto closeWhenIdle() -> void;

private:
    enum class Phase {
        Idle,
        Headers,
        Body,
        Handling,
        Closing,
    };

    auto readMore() -> void;
    auto parseBuffered() -> void;
    auto accountBuffered() -> bool;
    auto enter(Phase phase) -> void;
    auto handleRequest() -> void;
    auto sendAnswer(Answer&& answer, bool isHead, bool isKeepAlive) -> void;
    auto refuse(int status, std::string_view reason) -> void;
    auto closeAfterWrite() -> void;
    auto shutDownWhenWritten() -> void;
    auto onDisconnected() -> void;
    auto onTimeout() -> void;
    auto setBusy(bool isBusy) -> void;
    auto startParser() -> void;

    std::shared_ptr<ServerState> m_state;
    std::size_t m_worker;
    QTcpSocket m_socket;
    QTimer m_timer;
    RequestParser m_parser;
    std::string m_buffer;
    std::string m_peer;
    std::weak_ptr<Exchange> m_exchange;
    Phase m_phase = Phase::Idle;
    std::size_t m_accountedBytes = 0;
    bool m_isBusy = false;
    bool m_hasSentContinue = false;
    bool m_isShutDown = false;
};

} // namespace coriandergate::http::internal
