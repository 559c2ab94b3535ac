// One connection of a caller: reads requests, hands them to the server's handler and writes the answers in order.
#pragma once

#include "http/Answer.h"
#include "http/RequestParser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::http {
class Exchange;
}

namespace coriandergate::net::internal {

struct HttpServerState;

class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection> {
public:
    // HttpServerConnection() has a `number` that no other connection of the server has had.
    HttpServerConnection(HttpServerState& state, boost::asio::ip::tcp::socket socket, std::uint64_t number);

    auto start() -> void;

    // close() ends the connection at once and abandons the requests under way.
    auto close() -> void;

    // closeWhenIdle() ends the connection if no request is under way and none has begun to arrive. One that was
    // answered for the last time ends by itself.
    auto closeWhenIdle() -> void;

    // release() gives up what the connection holds beside requests that are being handled: it refuses the request that
    // is arriving, or closes the connection if its client doesn't read.
    auto release(std::chrono::steady_clock::time_point now) -> void;

    // closeForRoom() closes the connection unless its client has just sent something; it returns whether it did.
    auto closeForRoom() -> bool;

private:
    // Pending is one request from its last byte until its answer is in the write buffer.
    struct Pending {
        std::uint64_t number = 0;
        bool isHead = false;
        bool isKeepAlive = true;
        std::size_t bytes = 0; // of the request
        std::weak_ptr<http::Exchange> exchange;
        std::optional<http::Answer> answer;
    };

    auto read() -> void;
    auto onReadable(const boost::system::error_code& error) -> void;
    auto receive(std::string_view bytes) -> void;
    auto parse() -> void;
    // parseLater() goes on with what has arrived once the other connections have had their turn.
    auto parseLater() -> void;
    auto sendContinue() -> void;
    auto updateBudget(std::chrono::steady_clock::time_point now) -> void;
    [[nodiscard]] auto mayParse() const -> bool;
    auto endReading() -> void;
    auto handleRequest() -> void;
    auto setAnswer(std::uint64_t number, http::Answer&& answer) -> void;
    auto refuse(int status, std::string_view reason) -> void;
    auto flush() -> void;
    auto write() -> void;
    auto onWritten(const boost::system::error_code& error) -> void;
    auto finishWriting() -> void;
    auto armTimer() -> void;
    auto onTimer() -> void;
    auto resumeParsing() -> void;
    [[nodiscard]] static auto waitingBytes(const Pending& pending) -> std::size_t;
    [[nodiscard]] auto isIdle() const -> bool;

    HttpServerState* m_state;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_connectionNumber;
    std::string m_peer;
    http::RequestParser m_parser;
    std::string m_unparsed;
    std::size_t m_handledBytes = 0; // of the requests in m_pending
    std::size_t m_waitingBytes = 0; // of responses in m_pending that wait for earlier ones
    std::size_t m_unwrittenAnswers = 0;
    std::deque<Pending> m_pending;
    std::uint64_t m_nextNumber = 0;
    std::string m_outgoing;
    std::string m_writing;
    std::chrono::steady_clock::time_point m_lastActivity;
    std::chrono::steady_clock::time_point m_requestStart;
    bool m_hasSentContinue = false; // for the request that is arriving
    bool m_isReading = false;
    bool m_isWriting = false;
    bool m_isLast = false; // the connection ends with what is in the write buffer
    bool m_isEnding = false; // after the answers that are owed; nothing that follows is read as a request
    bool m_isShutDown = false;
    bool m_isClosed = false;
    bool m_isParsing = false;
    bool m_isParsingLater = false; // parse() is posted
};

} // namespace coriandergate::net::internal
