#include "soak/SocketCaller.h"

#include "base/Error.h"
#include "net/Endpoint.h"
#include "platform/ProtocolNames.h"

#include <boost/asio/write.hpp>

namespace coriandergate::soak {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds connectTimeout { 1000 };
    constexpr std::uint64_t maximumBatch = 4;

    auto isReset(const boost::system::error_code& error) -> bool
    {
        return error == boost::asio::error::connection_reset || error == boost::asio::error::broken_pipe;
    }

    auto toChunks(const std::string& body) -> std::string
    {
        const auto chunk
            = [](const std::string& bytes) { return std::to_string(bytes.size()) + "\r\n" + bytes + "\r\n"; };
        constexpr std::size_t firstChunk = 4; // sizes below ten are the same in decimal and in hexadecimal
        std::string chunks;
        for (std::size_t at = 0; at < body.size(); at += firstChunk)
            chunks += chunk(body.substr(at, firstChunk));
        return chunks + "0\r\n\r\n";
    }

} // namespace

SocketCaller::SocketCaller(boost::asio::io_context& io, Checker& checker, const Options& options)
    : m_io(io)
    , m_checker(checker)
    , m_options(options)
    , m_random(options.seed)
    , m_socket(io)
    , m_pauseTimer(io)
    , m_leaveTimer(io)
    , m_partTimer(io)
    , m_parser({})
{
}

auto SocketCaller::start() -> void { pause(); }

auto SocketCaller::stop() -> void
{
    m_isStopping = true;
    if (m_unanswered.empty())
        close();
}

auto SocketCaller::pause() -> void
{
    m_pauseTimer.expires_after(milliseconds(draw(2 * static_cast<std::uint64_t>(m_options.pause.count()))));
    m_pauseTimer.async_wait([this](const boost::system::error_code& error) {
        if (error || m_isStopping)
            return;
        if (m_socket.is_open())
            sendBatch();
        else
            connect();
    });
}

auto SocketCaller::connect() -> void
{
    Error reason;
    const auto endpoint = net::parseEndpoint(m_options.address, reason);
    if (!endpoint)
        return;
    leaveAfter(connectTimeout);
    m_socket.async_connect(*endpoint, [this, connection = m_connection](const boost::system::error_code& error) {
        if (connection != m_connection)
            return;
        if (error || m_isStopping) {
            finishBatch();
            return;
        }
        m_socket.set_option(tcp::no_delay(true));
        read();
        sendBatch();
    });
}

auto SocketCaller::sendBatch() -> void
{
    constexpr std::array<milliseconds, 4> deadlines { milliseconds(400), milliseconds(1000), milliseconds(2500),
        milliseconds(5000) };
    const auto deadline = deadlines[draw(deadlines.size())];
    const auto count = draw(2) == 0 ? 1 : 1 + draw(maximumBatch);
    const auto last = draw(8) == 0 ? draw(count) : count; // states that it is the last of the connection
    std::size_t start = 0;
    m_parts = { {} };
    for (std::uint64_t i = 0; i < count; ++i) {
        start = m_parts.back().bytes.size();
        drawRequest(deadline, i == last);
    }
    if (draw(3) == 0)
        splitLastRequest(start);
    const bool leavesEarly = draw(15) == 0;
    leaveAfter(leavesEarly ? milliseconds(draw(30)) : deadline);
    writeNext();
}

auto SocketCaller::drawRequest(milliseconds deadline, bool isLastOfConnection) -> void
{
    const auto names = platform::headerNames();
    Checker::Sent sent;
    sent.id = m_options.name + "-" + std::to_string(m_sent++);
    sent.host = m_options.host;
    sent.isRepeatable = draw(2) == 0;
    sent.method = sent.isRepeatable ? "GET" : "POST";
    sent.path = (sent.isRepeatable ? "/ledger/" : "/book/") + sent.id;
    sent.body = sent.isRepeatable ? "" : "body of " + sent.id;
    sent.key = "key-one";
    sent.account = "one";
    std::string bytes = sent.method + " " + sent.path + " HTTP/1.1\r\nHost: demo.example\r\n";
    const auto add = [&bytes](std::string_view name, const std::string& value) {
        bytes += std::string(name) + ": " + value + "\r\n";
    };
    add(names.requestId, sent.id);
    add(names.deadline, std::to_string(deadline.count()));
    add(names.apiKey, sent.key);
    if (isLastOfConnection)
        add("Connection", "close");
    if (!sent.body.empty() && draw(4) == 0)
        add("Expect", "100-continue");
    if (sent.body.empty())
        bytes += "\r\n";
    else if (draw(2) == 0)
        bytes += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n\r\n" + sent.body;
    else
        bytes += "Transfer-Encoding: chunked\r\n\r\n" + toChunks(sent.body);
    m_parts.back().bytes += bytes;
    m_unanswered.push_back(sent.id);
    m_checker.sent(sent, monotonicNow());
}

// Sends the rest of the last request later, now and then too late for the daemon.
auto SocketCaller::splitLastRequest(std::size_t start) -> void
{
    constexpr milliseconds tooLong { 3300 };
    auto& bytes = m_parts.back().bytes;
    // Half of the cuts leave only a few bytes, such as those of the last chunk.
    const auto length = bytes.size() - start;
    const auto cut = draw(2) == 0 ? bytes.size() - 1 - draw(5) : start + 1 + draw(length - 1);
    auto rest = bytes.substr(cut);
    bytes.resize(cut);
    m_parts.push_back({ std::move(rest), draw(15) == 0 ? tooLong : milliseconds(draw(400)) });
}

auto SocketCaller::writeNext() -> void
{
    if (m_parts.empty())
        return;
    const auto length = m_parts.front().pause;
    m_writing = std::move(m_parts.front().bytes);
    m_parts.pop_front();
    m_partTimer.expires_after(length);
    m_partTimer.async_wait([this, connection = m_connection](const boost::system::error_code& timerError) {
        if (timerError || connection != m_connection)
            return;
        boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
            [this, connection](const boost::system::error_code& error, std::size_t) -> void {
                // A failed write shows at the read too, after what the daemon may have answered before: as a reset, or
                // as an end if the write received the reset. The request then counts as cut, which promises less.
                if (!error && connection == m_connection)
                    writeNext();
            });
    });
}

auto SocketCaller::read() -> void
{
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
        [this, connection = m_connection](const boost::system::error_code& error, std::size_t bytes) {
            if (connection == m_connection)
                onRead(error, bytes);
        });
}

auto SocketCaller::onRead(const boost::system::error_code& error, std::size_t bytes) -> void
{
    if (error) {
        onEnd(error);
        return;
    }
    m_unparsed.append(m_readBuffer.data(), bytes);
    const auto connection = m_connection;
    while (connection == m_connection && !m_unparsed.empty()) {
        if (m_unanswered.empty()) {
            m_checker.unasked(m_options.name, m_unparsed);
            finishBatch();
            return;
        }
        m_unparsed.erase(0, m_parser.feed(m_unparsed));
        if (m_parser.progress() == http::ParseProgress::Failed) {
            m_checker.unasked(m_options.name, std::string(m_parser.failureReason()));
            finishBatch();
            return;
        }
        if (m_parser.progress() != http::ParseProgress::Complete)
            break;
        const auto answer = m_parser.takeAnswer();
        m_parser = http::AnswerParser({});
        onAnswer(answer);
    }
    if (connection == m_connection)
        read();
}

auto SocketCaller::onAnswer(const http::Answer& answer) -> void
{
    const bool isSigned = answer.headers.find(platform::headerNames().signature).has_value();
    m_checker.answered(m_unanswered.front(), answer.status, answer.body, isSigned, monotonicNow());
    m_unanswered.pop_front();
    if (!answer.isKeepAlive) {
        // What was sent behind an answer that closes the connection counts as not read.
        for (const auto& id : m_unanswered)
            m_checker.notRead(id);
        finishBatch();
    } else if (m_unanswered.empty()) {
        m_leaveTimer.cancel();
        if (m_isStopping)
            close();
        else
            pause();
    }
}

auto SocketCaller::onEnd(const boost::system::error_code& error) -> void
{
    if (m_unanswered.empty()) {
        close(); // the pause goes on
        return;
    }
    // The daemon's kernel resets a connection that is closed with bytes that weren't read, or that come after it was
    // closed. Of several requests those may belong to any; if there is only one, it wasn't read to its end.
    const bool wasNotRead = isReset(error) && m_unanswered.size() == 1 && !m_parser.hasStarted();
    const auto now = monotonicNow();
    for (const auto& id : m_unanswered) {
        if (wasNotRead)
            m_checker.notRead(id);
        else
            m_checker.cut(id, now);
    }
    finishBatch();
}

auto SocketCaller::leaveAfter(milliseconds time) -> void
{
    m_leaveTimer.expires_after(time);
    m_leaveTimer.async_wait([this, connection = m_connection](const boost::system::error_code& error) {
        if (!error && connection == m_connection)
            finishBatch();
    });
}

// Ends the connection with the batch.
auto SocketCaller::finishBatch() -> void
{
    close();
    if (!m_isStopping)
        pause();
}

auto SocketCaller::close() -> void
{
    ++m_connection;
    boost::system::error_code ignored; // it is closed either way
    m_socket.close(ignored);
    m_leaveTimer.cancel();
    m_partTimer.cancel();
    m_unanswered.clear();
    m_parts.clear();
    m_unparsed.clear();
    m_parser = http::AnswerParser({});
}

} // namespace coriandergate::soak
