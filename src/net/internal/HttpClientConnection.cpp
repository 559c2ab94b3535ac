#include "net/internal/HttpClientConnection.h"

#include "net/Endpoint.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>
#include <fcntl.h>
#include <netinet/tcp.h>

namespace coriandergate::net::internal {

using boost::asio::ip::tcp;
using http::ExchangeFailure;
using http::ParseProgress;
using Stage = http::ExchangeFailure::Stage;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

    // Answers to earlier requests that may come before the one that is waited for.
    constexpr int maximumSkippedAnswers = 4;

    using UserTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

    auto stepOf(Stage stage) -> const char*
    {
        switch (stage) {
        case Stage::Connect:
            return "connect";
        case Stage::AwaitAnswer:
            return "await answer";
        case Stage::ReadAnswer:
            return "read answer";
        case Stage::Cancelled:
            return "cancelled";
        }
        return "exchange";
    }

} // namespace

HttpClientConnection::HttpClientConnection(boost::asio::io_context& io, std::string peer,
    const HttpClient::Options& options, std::shared_ptr<AnswerMemory> answerMemory)
    : m_options(options)
    , m_answerMemory(std::move(answerMemory))
    , m_answerShare(*m_answerMemory)
    , m_peer(std::move(peer))
    , m_socket(io)
    , m_timer(io)
{
}

auto HttpClientConnection::start(std::string bytes, const HttpClient::SendOptions& options, Finished finished) -> void
{
    m_isReused = m_phase == Phase::Idle;
    m_outgoing = std::move(bytes);
    m_sendOptions = options;
    m_finished = std::move(finished);
    m_isWritten = false;
    m_hasPeerEnded = false;
    m_writeError = {};
    m_hasAnswerStarted = false;
    m_skippedAnswers = 0;
    const auto now = steady_clock::now();
    m_deadline = now + options.timeout;
    m_latestEnd = now + options.timeout + options.longestTime;
    startParser();
    if (m_phase == Phase::Idle)
        sendBytes();
    else
        connect();
}

auto HttpClientConnection::startParser() -> void
{
    m_parser.emplace(http::AnswerParser::Options { .maximumHeaderBytes = 64 * 1024,
        .maximumBodyBytes = m_sendOptions.maximumAnswerBytes,
        .isHead = m_sendOptions.isHead,
        .mayEndWithConnection = m_sendOptions.mayEndWithConnection });
}

auto HttpClientConnection::connect() -> void
{
    m_phase = Phase::Connecting;
    Error reason;
    const auto endpoint = parseEndpoint(m_peer, reason);
    armTimer(endpoint ? std::min(m_deadline, steady_clock::now() + m_options.connectTimeout) : steady_clock::now());
    if (!endpoint)
        return;
    m_socket.async_connect(
        *endpoint, [self = shared_from_this()](const boost::system::error_code& error) { self->onConnected(error); });
}

auto HttpClientConnection::onConnected(const boost::system::error_code& error) -> void
{
    if (m_phase != Phase::Connecting)
        return;
    if (error) {
        fail({ .stage = Stage::Connect, .error = {} }, error.message());
        return;
    }
    boost::system::error_code ignored; // without these options the connection works, only more slowly
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.set_option(UserTimeout(static_cast<int>(m_options.unacknowledgedTimeout.count())), ignored);
    m_socket.non_blocking(true, ignored);
    ::fcntl(m_socket.native_handle(), F_SETFD, FD_CLOEXEC);
    read();
    sendBytes();
}

auto HttpClientConnection::sendBytes() -> void
{
    m_phase = Phase::Exchanging;
    armTimer(m_deadline);
    if (const auto onSending = std::exchange(m_sendOptions.onSending, nullptr))
        onSending();
    m_isWriting = true;
    const auto unlessEnded = [self = shared_from_this()](const boost::system::error_code& error, std::size_t bytes) {
        return self->m_hasPeerEnded ? 0 : boost::asio::transfer_all()(error, bytes);
    };
    boost::asio::async_write(m_socket, boost::asio::buffer(m_outgoing), unlessEnded,
        [self = shared_from_this()](
            const boost::system::error_code& error, std::size_t bytes) { self->onWritten(error, bytes); });
}

// A failed write doesn't end the exchange: the peer may have answered before the connection failed.
auto HttpClientConnection::onWritten(const boost::system::error_code& error, std::size_t bytes) -> void
{
    m_isWriting = false;
    m_isWritten = !error && bytes == m_outgoing.size();
    m_writeError = error;
    if (m_phase == Phase::Exchanging && m_hasPeerEnded)
        onEnd(causeOfEnd());
}

auto HttpClientConnection::read() -> void
{
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
        [self = shared_from_this()](
            const boost::system::error_code& error, std::size_t bytes) { self->onRead(error, bytes); });
}

// The kernel reports the failure of a connection once. If the write received it, the next read reports an orderly end.
// A broken pipe is no such failure: the peer had ended its side in order before it refused further bytes.
auto HttpClientConnection::causeOfEnd() const -> boost::system::error_code
{
    const bool isFailure = m_writeError && m_writeError != boost::asio::error::broken_pipe
        && m_writeError != boost::asio::error::operation_aborted;
    return isFailure ? m_writeError : boost::asio::error::make_error_code(boost::asio::error::eof);
}

auto HttpClientConnection::onPeerEnded() -> void
{
    m_hasPeerEnded = true;
    if (m_isWriting)
        m_socket.cancel(); // onWritten() goes on, with what the write learnt
    else
        onEnd(causeOfEnd());
}

auto HttpClientConnection::onEnd(const boost::system::error_code& cause) -> void
{
    if (cause == boost::asio::error::eof)
        m_parser->finishAtEnd();
    if (m_parser->progress() == ParseProgress::Complete) {
        auto answer = m_parser->takeAnswer();
        answer.isKeepAlive = false;
        if (!isForEarlierRequest(answer) && !bearsOtherIdsToo(answer)) {
            finish(std::move(answer));
            return;
        }
    }
    ExchangeFailure failure { .stage = m_hasAnswerStarted ? Stage::ReadAnswer : Stage::AwaitAnswer,
        .mayHaveRun = true,
        .wasReset = cause != boost::asio::error::timed_out,
        .error = {} };
    fail(std::move(failure), cause.message());
}

auto HttpClientConnection::onRead(const boost::system::error_code& error, std::size_t bytes) -> void
{
    if (m_phase == Phase::Closed)
        return;
    if (m_phase != Phase::Exchanging) {
        close();
        return;
    }
    if (error == boost::asio::error::eof) {
        onPeerEnded();
        return;
    }
    if (error) {
        onEnd(error);
        return;
    }
    m_hasAnswerStarted = true;
    extendDeadline();
    if (!m_answerShare.add(bytes)) {
        fail({ .stage = Stage::ReadAnswer, .mayHaveRun = true, .error = {} }, "the answers under way are too large");
        return;
    }
    m_unparsed.append(m_readBuffer.data(), bytes);
    parse();
    if (m_phase != Phase::Closed)
        read();
}

auto HttpClientConnection::extendDeadline() -> void
{
    if (!m_sendOptions.stallTimeout)
        return;
    m_deadline = std::min(m_latestEnd, steady_clock::now() + *m_sendOptions.stallTimeout);
    armTimer(m_deadline);
}

auto HttpClientConnection::parse() -> void
{
    while (m_phase == Phase::Exchanging && !m_unparsed.empty()) {
        const auto used = m_parser->feed(m_unparsed);
        m_unparsed.erase(0, used);
        if (m_parser->progress() == ParseProgress::Failed) {
            fail({ .stage = Stage::ReadAnswer, .mayHaveRun = true, .error = {} },
                std::string(m_parser->failureReason()));
            return;
        }
        if (m_parser->progress() == ParseProgress::NeedsMore)
            return;
        auto answer = m_parser->takeAnswer();
        if (bearsOtherIdsToo(answer)) {
            fail({ .stage = Stage::ReadAnswer, .mayHaveRun = true, .error = {} }, "an answer with several ids");
            return;
        }
        if (!isForEarlierRequest(answer)) {
            finish(std::move(answer));
            return;
        }
        if (m_options.onSkippedAnswer)
            m_options.onSkippedAnswer(answer);
        if (++m_skippedAnswers > maximumSkippedAnswers) {
            fail({ .stage = Stage::ReadAnswer, .mayHaveRun = true, .error = {} }, "too many answers to other requests");
            return;
        }
        m_hasAnswerStarted = false;
        startParser();
    }
}

auto HttpClientConnection::isForEarlierRequest(const http::Answer& answer) const -> bool
{
    if (m_sendOptions.answerIdHeader.empty())
        return false;
    const auto id = answer.headers.find(m_sendOptions.answerIdHeader);
    return id && *id != m_sendOptions.answerId;
}

// Such an answer can't be told to belong to one request or another.
auto HttpClientConnection::bearsOtherIdsToo(const http::Answer& answer) const -> bool
{
    const auto& name = m_sendOptions.answerIdHeader;
    return !name.empty() && answer.headers.count(name) > 1
        && std::any_of(answer.headers.begin(), answer.headers.end(), [this, &name](const http::Header& header) {
               return http::isSameName(header.name, name) && header.value != m_sendOptions.answerId;
           });
}

auto HttpClientConnection::armTimer(steady_clock::time_point at) -> void
{
    m_timer.expires_at(at);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self)
            self->onTimeout();
    });
}

auto HttpClientConnection::onTimeout() -> void
{
    if (steady_clock::now() < m_timer.expiry())
        return;
    switch (m_phase) {
    case Phase::Connecting:
        fail({ .stage = Stage::Connect, .wasTimeout = true, .error = {} }, "no connection in time");
        return;
    case Phase::Exchanging:
        fail({ .stage = m_hasAnswerStarted ? Stage::ReadAnswer : Stage::AwaitAnswer,
                 .mayHaveRun = true,
                 .wasTimeout = true,
                 .error = {} },
            "no whole answer in time");
        return;
    case Phase::Idle:
        close();
        return;
    case Phase::New:
    case Phase::Closed:
        return;
    }
}

auto HttpClientConnection::statedIdleTime(const http::Answer& answer) const -> milliseconds
{
    constexpr std::string_view parameter = "timeout=";
    const auto keepAlive = answer.headers.find("Keep-Alive");
    const auto at = keepAlive ? keepAlive->find(parameter) : std::string_view::npos;
    if (at == std::string_view::npos)
        return m_options.idleTimeout;
    const auto digits = keepAlive->substr(at + parameter.size());
    int seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc {} || seconds < 0)
        return m_options.idleTimeout;
    const auto stated = std::chrono::duration<double>(seconds * m_options.idlePart);
    return std::min(m_options.idleTimeout, std::chrono::duration_cast<milliseconds>(stated));
}

auto HttpClientConnection::finish(http::Answer answer) -> void
{
    // Bytes behind a whole answer belong to no request, and a request that isn't sent to its end would go on.
    const bool isReusable = answer.isKeepAlive && m_unparsed.empty() && m_isWritten && m_phase == Phase::Exchanging;
    const auto finished = std::exchange(m_finished, nullptr);
    const auto self = shared_from_this();
    m_answerShare.clear();
    m_idleLimit = statedIdleTime(answer);
    m_idleSince = steady_clock::now();
    if (isReusable) {
        m_phase = Phase::Idle;
        armTimer(m_idleSince + m_idleLimit);
    } else {
        close();
    }
    finished(std::move(answer), isReusable);
}

auto HttpClientConnection::fail(ExchangeFailure failure, const std::string& reason) -> void
{
    failure.wasReusedConnection = m_isReused;
    failure.error = { stepOf(failure.stage), m_peer, reason };
    const auto finished = std::exchange(m_finished, nullptr);
    const auto self = shared_from_this();
    close();
    if (finished)
        finished(std::move(failure), false);
}

auto HttpClientConnection::isUsable(milliseconds maximumIdleAge, MonotonicTime now) -> bool
{
    if (m_phase != Phase::Idle || now - m_idleSince >= std::min(maximumIdleAge, m_idleLimit))
        return false;
    // The end of the connection, or unasked bytes, may lie in the socket without having been read yet.
    char byte = 0;
    const auto seen = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto HttpClientConnection::close() -> void
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    m_answerShare.clear();
    m_finished = nullptr;
    m_timer.cancel();
    boost::system::error_code ignored; // it is closed either way
    m_socket.close(ignored);
    if (const auto closed = std::exchange(m_closed, nullptr))
        closed();
}

} // namespace coriandergate::net::internal
