// One caller on a socket of its own, which uses what the protocol allows: kept connections, requests behind others,
// chunked and slow bodies, several deadlines, and leaving early. It tells the checker what it may conclude when a
// connection ends.
//
//   SocketCaller caller(io, checker, { .host = 0, .address = "127.0.0.2:7100", .name = "s-0" });
//   caller.start();
//   ...
//   caller.stop();
#pragma once

#include "http/AnswerParser.h"
#include "soak/Checker.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <string>

namespace coriandergate::soak {

// SocketCaller is used on the thread of its io_context only.
class SocketCaller {
public:
    struct Options {
        std::size_t host = 0;
        std::string address;
        std::string name; // begins the ids of its requests
        std::chrono::milliseconds pause { 40 }; // between batches of requests, on average
        std::uint64_t seed = 1;
    };

    SocketCaller(boost::asio::io_context& io, Checker& checker, const Options& options);

    auto start() -> void;

    // stop() sends nothing more, and closes the connection when nothing is under way.
    auto stop() -> void;

private:
    // Part is a piece of the bytes of a batch, and the pause before it is sent.
    struct Part {
        std::string bytes;
        std::chrono::milliseconds pause { 0 };
    };

    auto pause() -> void;
    auto connect() -> void;
    auto sendBatch() -> void;
    auto drawRequest(std::chrono::milliseconds deadline, bool isLastOfConnection) -> void;
    auto splitLastRequest(std::size_t start) -> void;
    auto writeNext() -> void;
    auto read() -> void;
    auto onRead(const boost::system::error_code& error, std::size_t bytes) -> void;
    auto onAnswer(const http::Answer& answer) -> void;
    auto onEnd(const boost::system::error_code& error) -> void;
    auto leaveAfter(std::chrono::milliseconds time) -> void;
    auto finishBatch() -> void;
    auto close() -> void;
    auto draw(std::uint64_t below) -> std::uint64_t { return m_random() % below; }

    boost::asio::io_context& m_io;
    Checker& m_checker;
    const Options m_options;
    std::mt19937_64 m_random;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_pauseTimer;
    boost::asio::steady_timer m_leaveTimer;
    boost::asio::steady_timer m_partTimer;
    http::AnswerParser m_parser;
    std::string m_unparsed;
    std::array<char, 16384> m_readBuffer {};
    std::deque<std::string> m_unanswered; // ids, in the order in which they were sent
    std::deque<Part> m_parts;
    std::string m_writing;
    std::uint64_t m_connection = 0; // handlers of earlier connections do nothing
    std::uint64_t m_sent = 0;
    bool m_isStopping = false;
};

} // namespace coriandergate::soak
