#include "http/AnswerParser.h"

#include "testing/ReadInPieces.h"

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

// Guards against callers that get such a line, or a body whose length another reader of that line takes differently. A
// line that begins with a blank is also how a folded line looks.
TEST_CASE("AnswerParser fails on a field whose name holds a blank or a control byte")
{
    const auto name = GENERATE(values<std::string>({ "X Odd", "X-Odd ", "X-Odd\t", "X\tOdd", " X-Odd", "\tX-Odd", "  ",
        "", std::string("X\0Odd", 5), "X\x01Odd", "X\rOdd", "X\nOdd", "X-Odd\x1f", "\x7fX-Odd", "X\x7fOdd",
        "Content-Length ", " Content-Length", "Content Length", "Content-Length\x01",
        "\x0b"
        "Content-Length",
        "Transfer-Encoding ", " Transfer-Encoding" }));
    const std::string line = name + (name.find("Transfer") == std::string::npos ? ": 2\r\n" : ": chunked\r\n");
    const auto* framing = GENERATE("Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n", "");
    const bool isFirst = GENERATE(true, false);
    const bool isInterim = GENERATE(true, false);
    const bool mayEndWithConnection = GENERATE(false, true);
    const std::string status = isInterim ? "HTTP/1.1 103 Early Hints\r\n" : "HTTP/1.1 200 OK\r\n";
    const std::string sound = "X-Sound: 1\r\n" + std::string(isInterim ? "" : framing);
    const std::string head = status + (isFirst ? line + sound : sound + line) + "\r\n";
    CAPTURE(head, mayEndWithConnection);
    CHECK(
        progressOf(head + (isInterim ? whole : "2\r\nok\r\n0\r\n\r\n"), mayEndWithConnection) == ParseProgress::Failed);
    AnswerParser bytewise({ .mayEndWithConnection = mayEndWithConnection });
    testing::readInPieces(bytewise, head, [] { return std::size_t { 1 }; });
    CHECK(bytewise.progress() == ParseProgress::Failed);
}

TEST_CASE("AnswerParser fails on a control byte in the value of a field or in a trailer's name")
{
    const auto bad = GENERATE(values<std::string>({ std::string("\0", 1), "\x01", "\r", "\n", "\x1f", "\x7f" }));
    CHECK(progressOf("HTTP/1.1 200 OK\r\nX-Odd: a" + bad + "b\r\nContent-Length: 0\r\n\r\n", true)
        == ParseProgress::Failed);
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    CHECK(progressOf(chunked + "X" + bad + "Odd: 1\r\n\r\n", true) == ParseProgress::Failed);
    CHECK(progressOf(chunked + "X Odd: 1\r\n\r\n", true) == ParseProgress::Failed);
    CHECK(progressOf(chunked + "X-Sound: 1\r\n\r\n", true) == ParseProgress::Complete);
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
