#include "http/RequestParser.h"

#include "http/Status.h"
#include "http/internal/HeaderChecks.h"
#include "http/internal/MessageParser.h"

#include <exception>

namespace coriandergate::http {

namespace beast = boost::beast::http;

namespace {

    // A header field takes its place in a list, which may double its room while it holds the former one.
    constexpr std::size_t fieldOverhead = 3 * sizeof(Header);
    // The shortest line is "a:" and its end. So much memory may stand behind each byte of an unfinished header block.
    constexpr std::size_t shortestLine = 4;

    auto headersMemory(const HeaderList& headers) -> std::size_t
    {
        std::size_t bytes = 0;
        for (const auto& header : headers)
            bytes += header.name.size() + header.value.size() + fieldOverhead;
        return bytes;
    }

} // namespace

struct RequestParser::State {
    explicit State(const Options& requestOptions)
        : parser({ .maximumHeaderBytes = requestOptions.maximumHeaderBytes,
            .maximumBodyBytes = requestOptions.maximumBodyBytes })
        , options(requestOptions)
    {
    }

    internal::MessageParser<true> parser;
    Options options;
    std::size_t headMemory = 0; // once the header block is complete
    ParseProgress progress = ParseProgress::NeedsMore;
    bool hasStarted = false;
    bool awaitsContinue = false;
    int failureStatus = 0;
    std::string failureReason;

    auto fail(int status, std::string reason) -> bool
    {
        progress = ParseProgress::Failed;
        failureStatus = status;
        failureReason = std::move(reason);
        return false;
    }

    auto feed(std::string_view bytes) -> std::size_t;
    auto checkHead() -> bool;
    auto checkTarget(std::string_view target) -> bool;
    auto failFrom(const boost::beast::error_code& error) -> void;
};

auto RequestParser::State::checkTarget(std::string_view target) -> bool
{
    if (target.empty() || (target.front() != '/' && target != "*"))
        return fail(400, "the request target is not a path");
    for (const char c : target) {
        if (static_cast<unsigned char>(c) <= ' ' || c == '\x7f' || c == '#')
            return fail(400, "the request target holds a forbidden character");
    }
    return true;
}

auto RequestParser::State::checkHead() -> bool
{
    const auto& headers = parser.headers();
    headMemory = headersMemory(headers);
    if (parser.version() != 11 && parser.version() != 10)
        return fail(505, "only HTTP/1.0 and HTTP/1.1 are served");
    if (!internal::hasPlainLength(headers))
        return fail(400, "a Content-Length that isn't one whole number");
    if (headers.count("Transfer-Encoding") > 1)
        return fail(400, "several Transfer-Encoding headers");
    if (const auto encoding = headers.find("Transfer-Encoding")) {
        if (headers.find("Content-Length"))
            return fail(400, "Content-Length beside Transfer-Encoding");
        if (parser.version() == 10)
            return fail(400, "Transfer-Encoding in HTTP/1.0");
        if (!isSameName(*encoding, "chunked"))
            return fail(501, "a Transfer-Encoding other than chunked");
    }
    if (headers.count("Host") > 1 || (parser.version() == 11 && headers.count("Host") == 0))
        return fail(400, "one Host header is needed");
    if (const auto expect = headers.find("Expect")) {
        if (!isSameName(*expect, "100-continue"))
            return fail(417, "an expectation other than 100-continue");
        awaitsContinue = true;
    }
    return checkTarget(parser.target());
}

auto RequestParser::State::failFrom(const boost::beast::error_code& error) -> void
{
    if (error == beast::error::body_limit)
        fail(413, "the body is larger than " + std::to_string(options.maximumBodyBytes) + " bytes");
    else if (error == beast::error::header_limit)
        fail(431, parser.headerLimitText());
    else
        fail(400, error.message());
}

RequestParser::RequestParser(const Options& options)
    : m_state(std::make_unique<State>(options))
{
}

RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&&) noexcept = default;
auto RequestParser::operator=(RequestParser&&) noexcept -> RequestParser& = default;

auto RequestParser::State::feed(std::string_view bytes) -> std::size_t
{
    hasStarted = true;
    boost::beast::error_code error;
    const auto used = parser.feed(bytes, error, [this] { return checkHead(); });
    if (progress == ParseProgress::Failed)
        return used;
    if (error)
        failFrom(error);
    else if (parser.is_done())
        progress = ParseProgress::Complete;
    return used;
}

auto RequestParser::feed(std::string_view bytes) -> std::size_t
{
    if (m_state->progress != ParseProgress::NeedsMore || bytes.empty())
        return 0;
    try {
        return m_state->feed(bytes);
    } catch (const std::exception& error) {
        // For want of memory, for example. The bytes of one caller must not end the process.
        m_state->fail(statusUnavailable, error.what());
        return bytes.size();
    }
}

auto RequestParser::progress() const -> ParseProgress { return m_state->progress; }

auto RequestParser::hasHeaders() const -> bool { return m_state->parser.is_header_done(); }

auto RequestParser::hasStarted() const -> bool { return m_state->hasStarted; }

auto RequestParser::awaitsContinue() const -> bool
{
    return m_state->awaitsContinue && m_state->progress == ParseProgress::NeedsMore && m_state->parser.body().empty();
}

auto RequestParser::bodyBytes() const -> std::size_t { return m_state->parser.body().size(); }

auto RequestParser::heldBytes() const -> std::size_t
{
    if (!m_state->hasStarted)
        return 0;
    const auto& parser = m_state->parser;
    // Pages of a buffer that is reserved at once are used as the body comes.
    const auto body = parser.isBodyReserved() ? parser.body().size() : parser.body().capacity();
    if (parser.is_header_done())
        return body + m_state->headMemory;
    return parser.headBytes() * (1 + fieldOverhead / shortestLine);
}

auto RequestParser::failureStatus() const -> int { return m_state->failureStatus; }

auto RequestParser::failureReason() const -> std::string_view { return m_state->failureReason; }

auto RequestParser::takeRequest() -> Request
{
    auto& parser = m_state->parser;
    Request request;
    request.method = parser.method();
    request.target = parser.target();
    request.isKeepAlive = parser.isKeepAlive();
    request.headers = parser.takeHeaders();
    request.body = parser.takeBody();
    return request;
}

} // namespace coriandergate::http
