#include "http/RequestParser.h"

#include "http/internal/BeastBuffer.h"

#include <optional>

namespace coriandergate::http {

namespace beast = boost::beast::http;

namespace {

    // A header field takes two lists' nodes and allocations beside its text, which both hold.
    constexpr std::size_t fieldOverhead = 2 * 96;
    // The shortest line is "a:" and its end. So much memory may stand behind each byte of an unfinished header block.
    constexpr std::size_t shortestLine = 4;
    // Method, version, blanks and end of the request line, in which the target stands.
    constexpr std::size_t requestLineOverhead = 48;

    auto headersMemory(const HeaderList& headers) -> std::size_t
    {
        std::size_t bytes = 0;
        for (const auto& header : headers)
            bytes += 2 * (header.name.size() + header.value.size()) + fieldOverhead;
        return bytes;
    }

} // namespace

struct RequestParser::State {
    beast::request_parser<beast::string_body> parser;
    Options options;
    HeaderList headers;
    std::size_t headBytes = 0; // read of the header block
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

    auto takeHeaders(std::size_t used) -> bool;
    auto checkHeadSize(std::size_t unread) -> bool;
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

// Beast bounds what it is given at once, not a header block that comes line by line.
auto RequestParser::State::checkHeadSize(std::size_t unread) -> bool
{
    const auto limit = options.maximumHeaderBytes;
    if (headBytes + unread <= limit + parser.get().target().size() + requestLineOverhead)
        return true;
    return fail(431, "the headers are larger than " + std::to_string(limit) + " bytes");
}

auto RequestParser::State::takeHeaders(std::size_t used) -> bool
{
    const auto& message = parser.get();
    headers = internal::copyHeaders(message);
    headMemory = headersMemory(headers);
    headBytes += used;
    if (!checkHeadSize(0))
        return false;
    if (message.version() != 11 && message.version() != 10)
        return fail(505, "only HTTP/1.0 and HTTP/1.1 are served");
    if (!internal::hasPlainLength(headers))
        return fail(400, "a Content-Length that isn't one whole number");
    if (headers.count("Transfer-Encoding") > 1)
        return fail(400, "several Transfer-Encoding headers");
    if (const auto encoding = headers.find("Transfer-Encoding")) {
        if (headers.find("Content-Length"))
            return fail(400, "Content-Length beside Transfer-Encoding");
        if (message.version() == 10)
            return fail(400, "Transfer-Encoding in HTTP/1.0");
        if (!isSameName(*encoding, "chunked"))
            return fail(501, "a Transfer-Encoding other than chunked");
    }
    if (headers.count("Host") > 1 || (message.version() == 11 && headers.count("Host") == 0))
        return fail(400, "one Host header is needed");
    if (const auto expect = headers.find("Expect")) {
        if (!isSameName(*expect, "100-continue"))
            return fail(417, "an expectation other than 100-continue");
        awaitsContinue = true;
    }
    return checkTarget(internal::toView(message.target()));
}

auto RequestParser::State::failFrom(const boost::beast::error_code& error) -> void
{
    if (error == beast::error::body_limit)
        fail(413, "the body is larger than " + std::to_string(options.maximumBodyBytes) + " bytes");
    else if (error == beast::error::header_limit)
        fail(431, "the headers are larger than " + std::to_string(options.maximumHeaderBytes) + " bytes");
    else
        fail(400, error.message());
}

RequestParser::RequestParser(const Options& options)
    : m_state(std::make_unique<State>())
{
    m_state->options = options;
    m_state->parser.header_limit(static_cast<std::uint32_t>(options.maximumHeaderBytes));
    m_state->parser.body_limit(options.maximumBodyBytes);
}

RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&&) noexcept = default;
auto RequestParser::operator=(RequestParser&&) noexcept -> RequestParser& = default;

auto RequestParser::feed(std::string_view bytes) -> std::size_t
{
    auto& state = *m_state;
    if (state.progress != ParseProgress::NeedsMore || bytes.empty())
        return 0;
    state.hasStarted = true;
    boost::beast::error_code error;
    const auto used = internal::feedParser(
        state.parser, bytes, error, [&state](std::size_t head) -> bool { return state.takeHeaders(head); });
    if (state.progress == ParseProgress::Failed)
        return used;
    if (error) {
        state.failFrom(error);
        return used;
    }
    const auto unread = bytes.size() - used;
    if (state.parser.is_done()) {
        state.progress = ParseProgress::Complete;
    } else if (!state.parser.is_header_done()) {
        state.headBytes += used;
        // A parser that needs more keeps nothing of an unfinished header line.
        if (unread > state.options.maximumHeaderBytes || !state.checkHeadSize(unread))
            state.fail(
                431, "the headers are larger than " + std::to_string(state.options.maximumHeaderBytes) + " bytes");
    } else if (unread > state.options.maximumHeaderBytes) {
        state.fail(431,
            "a trailer or the line before a chunk is larger than " + std::to_string(state.options.maximumHeaderBytes)
                + " bytes");
    }
    return used;
}

auto RequestParser::progress() const -> ParseProgress { return m_state->progress; }

auto RequestParser::hasHeaders() const -> bool { return m_state->parser.is_header_done(); }

auto RequestParser::hasStarted() const -> bool { return m_state->hasStarted; }

auto RequestParser::awaitsContinue() const -> bool
{
    return m_state->awaitsContinue && m_state->progress == ParseProgress::NeedsMore
        && m_state->parser.get().body().empty();
}

auto RequestParser::bodyBytes() const -> std::size_t { return m_state->parser.get().body().size(); }

auto RequestParser::heldBytes() const -> std::size_t
{
    if (!m_state->hasStarted)
        return 0;
    const auto& message = m_state->parser.get();
    // The buffer of a body of declared length is reserved at once, and its pages are used as the body comes.
    const auto body = message.has_content_length() ? message.body().size() : message.body().capacity();
    if (m_state->parser.is_header_done())
        return body + m_state->headMemory;
    return m_state->headBytes * (1 + fieldOverhead / shortestLine);
}

auto RequestParser::failureStatus() const -> int { return m_state->failureStatus; }

auto RequestParser::failureReason() const -> std::string_view { return m_state->failureReason; }

auto RequestParser::takeRequest() -> Request
{
    auto& message = m_state->parser.get();
    Request request;
    request.method = internal::toView(message.method_string());
    request.target = internal::toView(message.target());
    request.headers = std::move(m_state->headers);
    request.body = std::move(message.body());
    request.isKeepAlive = message.keep_alive();
    return request;
}

} // namespace coriandergate::http
