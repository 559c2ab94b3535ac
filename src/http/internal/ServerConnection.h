// One connection of a Server, on one worker thread.
#pragma once

#include "http/RequestParser.h"

#include <QObject>
#include <QTcpSocket>
#include <QTimer>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace coriandergate::http {
class Exchange;
struct Answer;
}

namespace coriandergate::http::internal {

class ServerState;

// ServerConnection deletes itself when its socket closes.
class ServerConnection : public QObject {
public:
    ServerConnection(std::shared_ptr<ServerState> state, std::size_t worker, qintptr descriptor);
    ~ServerConnection() override;

    // closeWhenIdle() closes the connection now if no request is under way, else after its answer.
    auto closeWhenIdle() -> void;

    // postRelease() and postCloseForRoom() make the connection give way, on its own worker: it refuses the request that
    // is arriving, or closes if its client doesn't read; or it closes unless it is in use. Safe from any thread.
    auto postRelease() -> void;
    auto postCloseForRoom() -> void;

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
    auto release() -> void;
    auto closeForRoom() -> void;
    auto updateBudget() -> void;
    auto onBytesWritten() -> void;
    auto continueReading() -> void;
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
    std::uint64_t m_id = 0; // of the connection in the server's state
    std::size_t m_handledBytes = 0; // of the request under way
    bool m_isBusy = false;
    bool m_hasSentContinue = false;
    bool m_isShutDown = false;
};

} // namespace coriandergate::http::internal
