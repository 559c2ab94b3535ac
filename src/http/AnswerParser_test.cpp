#include "http/AnswerParser.h"

#include <catch2/catch.hpp>
#include <string>

namespace coriandergate::http {

namespace {

    constexpr const char* whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    // Feeds all bytes, and then the orderly end of the connection.
    auto progressOf(const std::string& bytes, bool mayEndWithConnection) -> ParseProgress
    {
        AnswerParser parser({ .mayEndWithConnection = mayEndWithConnection });
        parser.feed(bytes);
        if (parser.progress() == ParseProgress::NeedsMore)
            parser.finishAtEnd();
        return parser.progress();
    }

} // namespace

// Guards against bytes that callers get as an answer although their first line is no status line.
TEST_CASE("AnswerParser fails on a status line that is none, also in place of an interim answer")
{
    const std::string line = GENERATE("HTTP/1.1 000 Odd", "HTTP/1.1 000", "HTTP/1.1 099 Odd", "HTTP/1.1 0 Odd",
        "HTTP/1.1 42 Odd", "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK",
        "HTTP/1.1 1000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK",
        "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200OK", "HTTP/1.1 101 Switching Protocols", "HTTP/0.9 200 OK",
        "HTTP/0.9 000 OK", "HTTP/2.0 200 OK", "HTTP/1.10 200 OK", "HTTP/1 200 OK", "http/1.1 200 OK", "HTTP/1.1",
        "200 OK", "ICY 200 OK");
    const auto* framing = GENERATE("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n");
    const bool mayEndWithConnection = GENERATE(false, true);
    CAPTURE(line, framing, mayEndWithConnection);
    CHECK(progressOf(line + framing, mayEndWithConnection) == ParseProgress::Failed);
    CHECK(progressOf(line + framing + whole, mayEndWithConnection) == ParseProgress::Failed);
    CHECK(progressOf("HTTP/1.1 102 Wait\r\n\r\n" + line + framing + whole, mayEndWithConnection)
        == ParseProgress::Failed);
}

TEST_CASE("AnswerParser skips a few interim answers, and fails on one after the other without end")
{
    const std::string interim = GENERATE(
        "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 199 Wait\r\n\r\n", "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n");
    constexpr int mostInterim = 8; // as AnswerParser allows
    std::string bytes;
    for (int i = 0; i < mostInterim; ++i)
        bytes += interim;
    CHECK(progressOf(bytes, true) == ParseProgress::NeedsMore);
    CHECK(progressOf(bytes + whole, false) == ParseProgress::Complete);
    CHECK(progressOf(bytes + interim, false) == ParseProgress::Failed);
    CHECK(progressOf(bytes + interim + whole, false) == ParseProgress::Failed);
}

TEST_CASE("AnswerParser takes the bounds of what is a status")
{
    const auto status = GENERATE(200, 204, 304, 404, 503, 599);
    AnswerParser parser({});
    parser.feed("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(parser.progress() == ParseProgress::Complete);
    CHECK(parser.takeAnswer().status == status);
    CHECK(progressOf("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", false) == ParseProgress::Complete);
}

} // namespace coriandergate::http
