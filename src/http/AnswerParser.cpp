#include "http/AnswerParser.h"

#include "http/internal/BeastBuffer.h"

#include <algorithm>
#include <optional>

namespace coriandergate::http {

namespace beast = boost::beast::http;

namespace {

    constexpr int firstStatus = 100;
    constexpr int lastStatus = 599; // no class of responses lies beyond it (RFC 9110, 15)
    constexpr int firstFinalStatus = 200;
    constexpr int switchingProtocols = 101;
    constexpr int maximumInterimAnswers = 8;

    auto isDigit(char c) -> bool { return c >= '0' && c <= '9'; }

    // hasStatusLine() says that `text` holds a status line, such as "HTTP/1.1 200 OK".
    auto hasStatusLine(std::string_view text) -> bool
    {
        constexpr std::string_view version = "HTTP/1.";
        for (auto at = text.find(version); at != std::string_view::npos; at = text.find(version, at + 1)) {
            const auto rest = text.substr(at + version.size());
            if (rest.size() >= 5 && isDigit(rest[0]) && rest[1] == ' '
                && std::all_of(rest.begin() + 2, rest.begin() + 5, isDigit) && (rest.size() == 5 || rest[5] == ' '))
                return true;
        }
        return false;
    }

    // hasFoldedLine() says that a line of `head` begins with a blank. Beast joins it with the line before, but it may
    // as well be a field of its own whose name lost its beginning, such as one that states the length.
    auto hasFoldedLine(std::string_view head) -> bool
    {
        return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
    }

} // namespace

struct AnswerParser::State {
    std::optional<beast::response_parser<beast::string_body>> parser;
    Options options;
    HeaderList headers;
    ParseProgress progress = ParseProgress::NeedsMore;
    bool hasStarted = false;
    int interimAnswers = 0;
    std::string failureReason;

    auto fail(std::string reason) -> bool
    {
        progress = ParseProgress::Failed;
        failureReason = std::move(reason);
        return false;
    }

    auto restart() -> void
    {
        parser.emplace();
        parser->header_limit(static_cast<std::uint32_t>(options.maximumHeaderBytes));
        parser->body_limit(options.maximumBodyBytes);
        parser->skip(options.isHead);
    }

    auto feedParser(std::string_view bytes, boost::beast::error_code& error) -> std::size_t
    {
        const bool hadHead = parser->is_header_done();
        std::size_t headBytes = 0;
        const auto used = internal::feedParser(*parser, bytes, error, [this, &headBytes](std::size_t count) {
            headBytes = count;
            return takeHeaders();
        });
        if (!parser->is_header_done())
            headBytes = used;
        if (!hadHead && hasFoldedLine(bytes.substr(0, headBytes)))
            fail("a line of the head that begins with a blank");
        return used;
    }

    [[nodiscard]] auto isInterim() const -> bool
    {
        return static_cast<int>(parser->get().result_int()) < firstFinalStatus;
    }

    auto takeHeaders() -> bool
    {
        headers = internal::copyHeaders(parser->get());
        // A head that was cut runs into the next one, whose status line then stands within it.
        if (hasStatusLine(internal::toView(parser->get().reason()))
            || std::any_of(
                headers.begin(), headers.end(), [](const Header& field) { return hasStatusLine(field.value); }))
            return fail("two heads that run into each other");
        if (parser->get().result_int() < firstStatus || parser->get().result_int() > lastStatus)
            return fail("a number that is no status");
        if (isInterim()) {
            if (parser->get().result_int() == switchingProtocols)
                return fail("the peer switched protocols unasked");
            return true;
        }
        if (!internal::hasPlainLength(headers))
            return fail("a Content-Length that isn't one whole number");
        const auto encoding = headers.find("Transfer-Encoding");
        if (encoding && (headers.find("Content-Length") || !isSameName(*encoding, "chunked")))
            return fail("an answer length that can be read in two ways");
        if (parser->need_eof() && !options.isHead && !options.mayEndWithConnection)
            return fail("the answer's length is not stated, so it can't be known to be whole");
        return true;
    }
};

AnswerParser::AnswerParser(const Options& options)
    : m_state(std::make_unique<State>())
{
    m_state->options = options;
    m_state->restart();
}

AnswerParser::~AnswerParser() = default;
AnswerParser::AnswerParser(AnswerParser&&) noexcept = default;
auto AnswerParser::operator=(AnswerParser&&) noexcept -> AnswerParser& = default;

auto AnswerParser::feed(std::string_view bytes) -> std::size_t
{
    auto& state = *m_state;
    std::size_t used = 0;
    while (state.progress == ParseProgress::NeedsMore && used < bytes.size()) {
        state.hasStarted = true;
        boost::beast::error_code error;
        used += state.feedParser(bytes.substr(used), error);
        if (state.progress == ParseProgress::Failed)
            break;
        if (error) {
            state.fail(error.message());
            break;
        }
        if (!state.parser->is_done())
            break;
        if (!state.isInterim()) {
            state.progress = ParseProgress::Complete;
        } else if (++state.interimAnswers > maximumInterimAnswers) {
            state.fail("too many interim answers");
        } else {
            state.restart();
        }
    }
    if (state.progress == ParseProgress::NeedsMore && !state.parser->is_header_done()
        && bytes.size() - used > state.options.maximumHeaderBytes)
        state.fail("the headers are larger than " + std::to_string(state.options.maximumHeaderBytes) + " bytes");
    return used;
}

auto AnswerParser::finishAtEnd() -> void
{
    auto& state = *m_state;
    if (state.progress != ParseProgress::NeedsMore || !state.parser->is_header_done() || !state.parser->need_eof())
        return;
    boost::beast::error_code error;
    state.parser->put_eof(error);
    if (!error && state.parser->is_done())
        state.progress = ParseProgress::Complete;
}

auto AnswerParser::progress() const -> ParseProgress { return m_state->progress; }

auto AnswerParser::hasStarted() const -> bool { return m_state->hasStarted; }

auto AnswerParser::failureReason() const -> std::string_view { return m_state->failureReason; }

auto AnswerParser::takeAnswer() -> Answer
{
    auto& message = m_state->parser->get();
    Answer answer;
    answer.status = static_cast<int>(message.result_int());
    answer.reason = internal::toView(message.reason());
    answer.headers = std::move(m_state->headers);
    answer.body = std::move(message.body());
    answer.isKeepAlive = message.keep_alive();
    return answer;
}

} // namespace coriandergate::http
