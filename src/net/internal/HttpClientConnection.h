// One connection to a peer, with at most one exchange at a time.
#pragma once

#include "http/AnswerParser.h"
#include "net/HttpClient.h"
#include "net/internal/AnswerMemory.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace coriandergate::net::internal {

class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection> {
public:
    // Finished is called at the end of an exchange, with whether the connection can serve another.
    using Finished = std::function<void(HttpClient::Result, bool isReusable)>;
    using Closed = std::function<void()>;

    HttpClientConnection(boost::asio::io_context& io, std::string peer, const HttpClient::Options& options,
        std::shared_ptr<AnswerMemory> answerMemory);

    auto onClosed(Closed callback) -> void { m_closed = std::move(callback); }
    [[nodiscard]] auto peer() const -> const std::string& { return m_peer; }

    // start() begins an exchange, connecting first if need be.
    auto start(std::string bytes, const HttpClient::SendOptions& options, Finished finished) -> void;

    // isUsable() says that the connection is open, idle for at most `maximumIdleAge`, and nothing came on it.
    [[nodiscard]] auto isUsable(std::chrono::milliseconds maximumIdleAge, MonotonicTime now) -> bool;

    // close() ends the connection; an exchange under way ends without a call of its callback.
    auto close() -> void;

private:
    enum class Phase {
        New,
        Connecting,
        Exchanging,
        Idle,
        Closed,
    };

    auto connect() -> void;
    auto onConnected(const boost::system::error_code& error) -> void;
    auto sendBytes() -> void;
    auto onWritten(const boost::system::error_code& error, std::size_t bytes) -> void;
    auto read() -> void;
    auto onRead(const boost::system::error_code& error, std::size_t bytes) -> void;
    auto onPeerEnded() -> void;
    [[nodiscard]] auto causeOfEnd() const -> boost::system::error_code;
    auto onEnd(const boost::system::error_code& cause) -> void;
    auto extendDeadline() -> void;
    auto parse() -> void;
    auto isForEarlierRequest(const http::Answer& answer) const -> bool;
    auto bearsOtherIdsToo(const http::Answer& answer) const -> bool;
    auto onTimeout() -> void;
    auto armTimer(std::chrono::steady_clock::time_point at) -> void;
    auto finish(http::Answer answer) -> void;
    auto fail(http::ExchangeFailure failure, const std::string& reason) -> void;
    auto startParser() -> void;
    [[nodiscard]] auto statedIdleTime(const http::Answer& answer) const -> std::chrono::milliseconds;

    HttpClient::Options m_options;
    std::shared_ptr<AnswerMemory> m_answerMemory;
    AnswerMemory::Share m_answerShare;
    std::string m_peer;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    Phase m_phase = Phase::New;
    HttpClient::SendOptions m_sendOptions;
    std::string m_outgoing;
    Finished m_finished;
    Closed m_closed;
    std::optional<http::AnswerParser> m_parser;
    std::string m_unparsed;
    std::array<char, 16384> m_readBuffer {};
    std::chrono::steady_clock::time_point m_deadline;
    std::chrono::steady_clock::time_point m_latestEnd; // of an exchange whose deadline is extended
    std::chrono::steady_clock::time_point m_idleSince;
    std::chrono::milliseconds m_idleLimit { 0 };
    int m_skippedAnswers = 0;
    boost::system::error_code m_writeError;
    bool m_isWriting = false;
    bool m_isWritten = false;
    bool m_hasPeerEnded = false;
    bool m_isReused = false;
    bool m_hasAnswerStarted = false;
};

} // namespace coriandergate::net::internal
