#include "net/internal/HttpServerConnection.h"

#include "http/Exchange.h"
#include "http/Problem.h"
#include "http/Serialize.h"
#include "net/internal/HttpServerState.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <fcntl.h>

namespace coriandergate::net::internal {

using boost::asio::ip::tcp;
using http::ParseProgress;
using std::chrono::steady_clock;

namespace {

    // A peer that was answered for the last time gets so long to read the answer and close.
    constexpr std::chrono::milliseconds lingerTimeout { 2000 };
    // Bytes of requests that may wait unparsed behind those being handled, and of responses that the client has yet to
    // take before a further request is handled: as many as a kernel's buffer takes at first.
    constexpr std::size_t maximumUnparsedBytes = 64 * 1024;
    constexpr std::size_t maximumUnwrittenBytes = 64 * 1024;
    // A refusal takes less, and must not be the reason to cut the connection on which it is sent.
    constexpr std::size_t uncountedUnreadBytes = 1024;
    // Room that the strings of a connection keep between requests; it fits most of them.
    constexpr std::size_t keptCapacity = 4 * 1024;
    // Requests of one connection that are handled before the others have their turn.
    constexpr std::size_t maximumRequestsPerTurn = 4;
    // What the handling of a request takes beside its headers and body: its state, timers and messages.
    constexpr std::size_t requestOverhead = 2 * 1024;
    constexpr std::size_t responseOverhead = 512; // status line and headers

    auto dropCapacity(std::string& text) -> void
    {
        if (text.empty() && text.capacity() > keptCapacity)
            text = {};
    }

    auto parserOptions(const HttpServer::Options& options) -> http::RequestParser::Options
    {
        return { .maximumHeaderBytes = options.maximumHeaderBytes, .maximumBodyBytes = options.maximumBodyBytes };
    }

} // namespace

HttpServerConnection::HttpServerConnection(HttpServerState& state, tcp::socket socket, std::uint64_t number)
    : m_state(&state)
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_connectionNumber(number)
    , m_peer(std::to_string(number))
    , m_parser(parserOptions(state.options))
    , m_lastActivity(steady_clock::now())
{
}

auto HttpServerConnection::start() -> void
{
    boost::system::error_code ignored; // a connection that is gone shows at the first read
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    ::fcntl(m_socket.native_handle(), F_SETFD, FD_CLOEXEC);
    armTimer();
    read();
}

auto HttpServerConnection::isIdle() const -> bool
{
    return m_pending.empty() && !m_isWriting && m_outgoing.empty() && m_unparsed.empty() && !m_parser.hasStarted();
}

auto HttpServerConnection::close() -> void
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    const auto self = shared_from_this();
    boost::system::error_code ignored; // it is closed either way
    m_timer.cancel();
    m_socket.close(ignored);
    m_state->openRequests -= m_pending.size() + m_unwrittenAnswers;
    m_unwrittenAnswers = 0;
    m_state->budget.close(m_connectionNumber);
    const auto pending = std::move(m_pending);
    m_pending.clear();
    m_state->connections.erase(m_connectionNumber);
    for (const auto& request : pending) {
        if (const auto exchange = request.exchange.lock())
            exchange->abandon();
    }
    if (m_state->connectionClosed)
        m_state->connectionClosed(m_peer);
}

auto HttpServerConnection::closeWhenIdle() -> void
{
    boost::system::error_code error;
    if (!m_isClosed && !m_isShutDown && isIdle() && m_socket.available(error) == 0)
        close();
}

auto HttpServerConnection::release(steady_clock::time_point now) -> void
{
    const auto unread = m_outgoing.size() + m_writing.size() + m_waitingBytes;
    const bool isArriving = m_parser.hasStarted() || !m_unparsed.empty();
    if (!isArriving || m_isEnding || m_isLast || unread > m_parser.heldBytes() + m_unparsed.size()) {
        ++m_state->released.unreadResponses;
        close();
        return;
    }
    ++m_state->released.requests;
    refuse(503, "other requests hold the memory of the daemon");
    updateBudget(now);
}

auto HttpServerConnection::closeForRoom() -> bool
{
    boost::system::error_code error;
    if (m_socket.available(error) > 0 && !error)
        return false;
    close();
    return true;
}

auto HttpServerConnection::mayParse() const -> bool
{
    return !m_isClosed && !m_isLast && !m_isEnding && m_pending.size() < m_state->options.maximumPipelined
        && m_outgoing.size() + m_writing.size() < maximumUnwrittenBytes;
}

auto HttpServerConnection::read() -> void
{
    if (m_isReading || m_isClosed)
        return;
    m_isReading = true;
    // Without a buffer: a connection that says nothing takes none.
    m_socket.async_wait(tcp::socket::wait_read,
        [self = shared_from_this()](const boost::system::error_code& error) -> void { self->onReadable(error); });
}

auto HttpServerConnection::onReadable(const boost::system::error_code& error) -> void
{
    m_isReading = false;
    if (m_isClosed)
        return;
    auto readError = error;
    std::size_t bytes = 0;
    if (!readError)
        bytes = m_socket.read_some(boost::asio::buffer(m_state->readBuffer), readError);
    if (readError == boost::asio::error::would_block) {
        read();
        return;
    }
    if (readError) {
        close();
        return;
    }
    receive({ m_state->readBuffer.data(), bytes });
}

auto HttpServerConnection::receive(std::string_view bytes) -> void
{
    m_lastActivity = steady_clock::now();
    if (!m_isLast && !m_isShutDown && !m_isEnding) {
        if (m_unparsed.empty() && !m_parser.hasStarted())
            m_requestStart = m_lastActivity;
        m_unparsed.append(bytes);
        parse();
        if (!m_isClosed && !m_isShutDown && m_parser.hasStarted())
            armTimer();
        m_state->releaseBytes(m_lastActivity);
    }
    if (m_unparsed.size() < maximumUnparsedBytes)
        read();
}

auto HttpServerConnection::parse() -> void
{
    // A handler that answers at once comes back here through flush().
    if (m_isParsing || m_isParsingLater)
        return;
    m_isParsing = true;
    for (std::size_t handled = 0; mayParse() && !m_unparsed.empty(); ++handled) {
        if (handled == maximumRequestsPerTurn) {
            parseLater();
            break;
        }
        const auto used = m_parser.feed(m_unparsed);
        m_unparsed.erase(0, used);
        if (m_parser.progress() == ParseProgress::Failed) {
            refuse(m_parser.failureStatus(), m_parser.failureReason());
            break;
        }
        if (m_parser.progress() != ParseProgress::Complete) {
            sendContinue();
            break;
        }
        // Once it is handled, it can't give way any more.
        const auto now = steady_clock::now();
        updateBudget(now);
        m_state->releaseBytes(now);
        if (m_isClosed || m_isEnding)
            break;
        handleRequest();
    }
    m_isParsing = false;
    if (m_isClosed)
        return;
    dropCapacity(m_unparsed);
    updateBudget(steady_clock::now());
    // A parser that needs more than the bound bounds itself.
    if (m_unparsed.size() < maximumUnparsedBytes || mayParse())
        read();
}

auto HttpServerConnection::parseLater() -> void
{
    m_isParsingLater = true;
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_isParsingLater = false;
        self->parse();
    });
}

// An interim answer would be taken for that of an earlier request, so it waits until those are answered.
auto HttpServerConnection::sendContinue() -> void
{
    if (!m_parser.awaitsContinue() || m_hasSentContinue || !m_pending.empty() || m_isWriting)
        return;
    m_hasSentContinue = true;
    m_outgoing += "HTTP/1.1 100 Continue\r\n\r\n";
    write();
}

auto HttpServerConnection::updateBudget(steady_clock::time_point now) -> void
{
    if (m_isClosed)
        return;
    const auto unread = m_outgoing.size() + m_writing.size() + m_waitingBytes;
    m_state->budget.set(m_connectionNumber,
        { .arriving = m_parser.heldBytes() + m_unparsed.size(),
            .handled = m_handledBytes,
            .unread = unread > uncountedUnreadBytes ? unread : 0 },
        now);
}

auto HttpServerConnection::endReading() -> void
{
    m_isEnding = true;
    m_parser = http::RequestParser(parserOptions(m_state->options));
    m_unparsed = {};
}

auto HttpServerConnection::handleRequest() -> void
{
    const auto bytes = m_parser.heldBytes() + requestOverhead;
    auto request = m_parser.takeRequest();
    m_parser = http::RequestParser(parserOptions(m_state->options));
    m_hasSentContinue = false;
    m_requestStart = steady_clock::now();
    m_state->budget.recordRequest(m_connectionNumber, m_requestStart);
    const auto number = m_nextNumber++;
    Pending pending { .number = number,
        .isHead = request.method == "HEAD",
        .isKeepAlive = request.isKeepAlive,
        .bytes = bytes,
        .exchange = {},
        .answer = {} };
    if (!pending.isKeepAlive)
        endReading();
    const auto exchange = std::make_shared<http::Exchange>(
        std::move(request), m_peer, 0, [weak = weak_from_this(), number](http::Answer&& answer) {
            if (const auto self = weak.lock())
                self->setAnswer(number, std::move(answer));
        });
    pending.exchange = exchange;
    m_pending.push_back(std::move(pending));
    m_handledBytes += bytes;
    ++m_state->openRequests;
    if (m_state->handler)
        m_state->handler(exchange);
}

auto HttpServerConnection::waitingBytes(const Pending& pending) -> std::size_t
{
    return pending.answer->body.size() + responseOverhead;
}

auto HttpServerConnection::setAnswer(std::uint64_t number, http::Answer&& answer) -> void
{
    if (m_isClosed)
        return;
    const auto found = std::find_if(
        m_pending.begin(), m_pending.end(), [number](const Pending& pending) { return pending.number == number; });
    if (found == m_pending.end())
        return;
    found->answer = std::move(answer);
    m_waitingBytes += waitingBytes(*found);
    flush();
    const auto now = steady_clock::now();
    updateBudget(now);
    m_state->releaseBytes(now);
}

auto HttpServerConnection::refuse(int status, std::string_view reason) -> void
{
    // It comes behind the answers that are still owed on this connection.
    Pending pending { .number = m_nextNumber++,
        .isHead = false,
        .isKeepAlive = false,
        .bytes = 0,
        .exchange = {},
        .answer = http::makeAnswer(status, http::problemContentType, http::problemBody(status, reason)) };
    for (const auto& header : m_state->options.refusalHeaders)
        pending.answer->headers.add(header.name, header.value);
    m_waitingBytes += waitingBytes(pending);
    m_pending.push_back(std::move(pending));
    ++m_state->openRequests;
    endReading();
    flush();
}

auto HttpServerConnection::flush() -> void
{
    while (!m_isLast && !m_pending.empty() && m_pending.front().answer) {
        auto& front = m_pending.front();
        auto& answer = *front.answer;
        // While others wait behind it, the connection is kept: they were read.
        const bool isLast = !front.isKeepAlive || (m_state->isDraining && m_pending.size() == 1 && m_unparsed.empty());
        answer.isKeepAlive = !isLast;
        m_waitingBytes -= waitingBytes(front);
        m_handledBytes -= front.bytes;
        m_outgoing += http::serializeAnswer(answer, front.isHead);
        m_pending.pop_front();
        ++m_unwrittenAnswers;
        m_isLast = isLast;
    }
    write();
    if (!m_unparsed.empty())
        parse();
}

auto HttpServerConnection::write() -> void
{
    if (m_isWriting || m_outgoing.empty() || m_isClosed)
        return;
    m_isWriting = true;
    m_writing.swap(m_outgoing);
    m_outgoing.clear();
    const auto recordTaken = [self = shared_from_this()](const boost::system::error_code& error, std::size_t taken) {
        if (taken > 0 && !self->m_isClosed)
            self->m_state->budget.recordTaken(self->m_connectionNumber, steady_clock::now());
        return boost::asio::transfer_all()(error, taken);
    };
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing), recordTaken,
        [self = shared_from_this()](
            const boost::system::error_code& error, std::size_t) -> void { self->onWritten(error); });
}

auto HttpServerConnection::onWritten(const boost::system::error_code& error) -> void
{
    m_isWriting = false;
    if (m_isClosed)
        return;
    if (error) {
        close();
        return;
    }
    m_lastActivity = steady_clock::now();
    m_writing.clear();
    dropCapacity(m_writing);
    if (!m_outgoing.empty()) {
        write();
    } else {
        dropCapacity(m_outgoing);
        m_state->openRequests -= m_unwrittenAnswers;
        m_unwrittenAnswers = 0;
        if (m_isLast)
            finishWriting();
        else
            sendContinue();
    }
    resumeParsing();
}

// Requests that came while the client had too many responses to take wait in m_unparsed.
auto HttpServerConnection::resumeParsing() -> void
{
    if (m_unparsed.empty() || !mayParse()) {
        updateBudget(m_lastActivity);
        return;
    }
    if (!m_parser.hasStarted())
        m_requestStart = m_lastActivity;
    parse();
    if (!m_isClosed && !m_isShutDown && m_parser.hasStarted())
        armTimer();
}

// Closing a socket that holds unread bytes resets the connection, and the reset can overtake the answer. So only the
// sending side is closed; the rest is read and dropped until the caller closes its side or a timeout ends it.
auto HttpServerConnection::finishWriting() -> void
{
    if (m_isShutDown)
        return;
    m_isShutDown = true;
    boost::system::error_code ignored; // the timer ends the connection in any case
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    m_timer.expires_after(lingerTimeout);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
        if (!error)
            self->close();
    });
}

auto HttpServerConnection::armTimer() -> void
{
    const bool isArriving = m_parser.hasStarted();
    const auto& options = m_state->options;
    m_timer.expires_at(isArriving ? m_requestStart + options.headerTimeout : m_lastActivity + options.idleTimeout);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self)
            self->onTimer();
    });
}

// The timer is armed for the earliest time at which something could be overdue, not again for each request.
auto HttpServerConnection::onTimer() -> void
{
    if (m_isClosed || m_isShutDown)
        return;
    const auto now = steady_clock::now();
    const auto& options = m_state->options;
    if (m_parser.hasStarted() && now >= m_requestStart + options.headerTimeout) {
        refuse(408, "the request did not arrive in time");
        return;
    }
    if (isIdle() && now >= m_lastActivity + options.idleTimeout) {
        close();
        return;
    }
    if (!isIdle())
        m_lastActivity = now;
    armTimer();
}

} // namespace coriandergate::net::internal
