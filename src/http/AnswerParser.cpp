#include "http/AnswerParser.h"

#include "http/internal/HeaderChecks.h"
#include "http/internal/MessageParser.h"

#include <algorithm>
#include <exception>
#include <optional>

namespace coriandergate::http {

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
    std::optional<internal::MessageParser<false>> parser;
    Options options;
    ParseProgress progress = ParseProgress::NeedsMore;
    bool hasStarted = false;
    int interimAnswers = 0;
    std::string failureReason;

    auto feed(std::string_view bytes) -> std::size_t;

    auto fail(std::string reason) -> bool
    {
        progress = ParseProgress::Failed;
        failureReason = std::move(reason);
        return false;
    }

    auto restart() -> void
    {
        parser.emplace(internal::MessageLimits {
            .maximumHeaderBytes = options.maximumHeaderBytes, .maximumBodyBytes = options.maximumBodyBytes });
        parser->skip(options.isHead);
    }

    auto feedParser(std::string_view bytes, boost::beast::error_code& error) -> std::size_t
    {
        const bool hadHead = parser->is_header_done();
        const auto knownHeadBytes = parser->headBytes();
        const auto used = parser->feed(bytes, error, [this] { return checkHead(); });
        if (!hadHead && hasFoldedLine(bytes.substr(0, parser->headBytes() - knownHeadBytes)))
            fail("a line of the head that begins with a blank");
        return used;
    }

    [[nodiscard]] auto isInterim() const -> bool { return parser->status() < firstFinalStatus; }

    auto checkHead() -> bool
    {
        const auto& headers = parser->headers();
        // A head that was cut runs into the next one, whose status line then stands within it.
        if (hasStatusLine(parser->reason()) || std::any_of(headers.begin(), headers.end(), [](const Header& field) {
                return hasStatusLine(field.value);
            }))
            return fail("two heads that run into each other");
        if (parser->status() < firstStatus || parser->status() > lastStatus)
            return fail("a number that is no status");
        if (isInterim()) {
            if (parser->status() == switchingProtocols)
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

auto AnswerParser::State::feed(std::string_view bytes) -> std::size_t
{
    std::size_t used = 0;
    while (progress == ParseProgress::NeedsMore && used < bytes.size()) {
        hasStarted = true;
        boost::beast::error_code error;
        used += feedParser(bytes.substr(used), error);
        if (progress == ParseProgress::Failed)
            break;
        if (error) {
            fail(error == boost::beast::http::error::header_limit ? parser->headerLimitText() : error.message());
            break;
        }
        if (!parser->is_done())
            break;
        if (!isInterim()) {
            progress = ParseProgress::Complete;
        } else if (++interimAnswers > maximumInterimAnswers) {
            fail("too many interim answers");
        } else {
            restart();
        }
    }
    return used;
}

auto AnswerParser::feed(std::string_view bytes) -> std::size_t
{
    try {
        return m_state->feed(bytes);
    } catch (const std::exception& error) {
        // For want of memory, for example. The bytes of one peer must not end the process.
        m_state->fail(error.what());
        return bytes.size();
    }
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
    auto& parser = *m_state->parser;
    Answer answer;
    answer.status = parser.status();
    answer.reason = parser.reason();
    answer.headers = parser.takeHeaders();
    answer.body = parser.takeBody();
    answer.isKeepAlive = parser.isKeepAlive();
    return answer;
}

} // namespace coriandergate::http
