// The bounds of the parsers on each part of a message, also far beyond those of the library behind them.
#include "http/AnswerParser.h"
#include "http/RequestParser.h"
#include "testing/ReadInPieces.h"

#include <catch2/catch.hpp>
#include <functional>
#include <limits>
#include <random>
#include <string>
#include <type_traits>

namespace coriandergate::http {

using testing::readInPieces;

namespace {

    using Random = std::mt19937_64;

    constexpr std::size_t largestFieldOfLibrary = 65'533; // a longer one ended the process with an exception

    auto makeFields(std::size_t bytes, std::size_t fieldBytes) -> std::string
    {
        const auto line = "a:" + std::string(fieldBytes, 'b') + "\r\n";
        std::string fields;
        while (fields.size() + line.size() <= bytes)
            fields += line;
        return fields;
    }

    // A message of which each part may be drawn to lie within, at or beyond the header limit.
    struct DrawnMessage {
        std::string bytes;
        bool isWithinLimit = true;
    };

    // drawPart() draws a size for a part, often near the limit, and the field length that fills it.
    auto drawPart(Random& random, std::size_t limit) -> std::string
    {
        const std::size_t sizes[] = { 0, 8, limit / 2, limit - 8, limit - 2, limit - 1, limit, limit + 1, 2 * limit,
            largestFieldOfLibrary, largestFieldOfLibrary + 1, 200'000 };
        const auto size = sizes[random() % std::size(sizes)];
        if (size < 6)
            return {};
        return random() % 2 == 0 ? makeFields(size, size - 4) : makeFields(size, 1 + random() % 40);
    }

    // drawChunked() draws a message in chunks, which has the given first line and the fields that it needs.
    auto drawChunked(Random& random, std::size_t limit, const std::string& startLine, const std::string& neededFields)
        -> DrawnMessage
    {
        DrawnMessage message;
        const auto add = [&](const std::string& part, std::size_t countedBytes) -> void {
            message.bytes += part;
            message.isWithinLimit = message.isWithinLimit && countedBytes <= limit;
        };
        add(startLine, startLine.size());
        const auto fields = drawPart(random, limit) + neededFields + "Transfer-Encoding: chunked\r\n\r\n";
        add(fields, fields.size());
        // The end of a chunk is read with the line before the next.
        constexpr std::size_t chunkEnd = 2;
        const bool hasFirstChunk = random() % 2 == 0;
        if (hasFirstChunk)
            message.bytes += "2\r\nok\r\n";
        const auto extension = random() % 3 == 0 ? ";a=" + std::string(drawPart(random, limit).size() + 1, 'e') : "";
        const auto line = "2" + extension + "\r\n";
        add(line + "ok\r\n", line.size() + (hasFirstChunk ? chunkEnd : 0));
        const auto end = "0\r\n" + drawPart(random, limit) + "\r\n";
        add(end, end.size() + chunkEnd);
        return message;
    }

    // drawLongWord() is a part of a first line, most often a short one.
    auto drawLongWord(Random& random, std::size_t limit) -> std::string
    {
        return std::string(1 + (random() % 4 == 0 ? drawPart(random, limit).size() : 0), 'w');
    }

    auto drawAnswer(Random& random, std::size_t limit) -> DrawnMessage
    {
        std::string interimAnswers;
        bool isWithinLimit = true;
        for (auto interim = random() % 3; interim > 0; --interim) {
            const auto fields = drawPart(random, limit) + "\r\n";
            isWithinLimit = isWithinLimit && fields.size() <= limit;
            interimAnswers += "HTTP/1.1 103 Early Hints\r\n" + fields;
        }
        auto message = drawChunked(random, limit, "HTTP/1.1 200 " + drawLongWord(random, limit) + "\r\n", "");
        return { interimAnswers + message.bytes, isWithinLimit && message.isWithinLimit };
    }

    auto drawRequest(Random& random, std::size_t limit) -> DrawnMessage
    {
        return drawChunked(random, limit, "POST /" + drawLongWord(random, limit) + " HTTP/1.1\r\n", "Host: x\r\n");
    }

    auto bodyOf(AnswerParser& parser) -> std::string { return parser.takeAnswer().body; }
    auto bodyOf(RequestParser& parser) -> std::string { return parser.takeRequest().body; }

    auto drawPieces(Random& random) -> std::function<std::size_t()>
    {
        const std::size_t bounds[] = { 40, 1'000, 8'192, 65'536, 1'000'000 };
        const auto bound = bounds[random() % std::size(bounds)];
        return [&random, bound] { return 1 + random() % bound; };
    }

} // namespace

// Guards against an answer that ends the daemon: a field of its trailer was kept, and one of 64 KiB was an exception.
TEST_CASE("AnswerParser reads a trailer of any field length within the header limit and keeps none of it")
{
    const std::size_t limit = GENERATE(64 * 1024, 128 * 1024);
    const std::size_t fieldBytes = GENERATE(60, 65'000, 65'533, 65'534, 66'000, 200'000);
    const auto trailer = "0\r\nX-Long: " + std::string(fieldBytes, 'x') + "\r\n\r\n";
    const auto bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" + trailer;
    CAPTURE(limit, fieldBytes);
    AnswerParser parser({ .maximumHeaderBytes = limit });
    std::string unread = bytes;
    unread.erase(0, parser.feed(unread));
    const bool isWithinLimit = trailer.size() + 2 <= limit; // with the end of the chunk before
    CHECK(parser.progress() == (isWithinLimit ? ParseProgress::Complete : ParseProgress::Failed));
    if (isWithinLimit)
        CHECK(parser.takeAnswer().headers.size() == 1);
    else
        CHECK_FALSE(parser.failureReason().empty());
}

// Guards against an answer that takes the daemon's memory line by line.
TEST_CASE("AnswerParser bounds a header block and a trailer that have no end")
{
    const std::string start = GENERATE("HTTP/1.1 200 OK\r\n", "HTTP/1.1 103 Early Hints\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=", "HTTP/1.1 200 ");
    constexpr std::size_t limit = 16 * 1024;
    const bool hasLines = start.back() == '\n';
    const auto bytes = start + (hasLines ? makeFields(20'000'000, 1) : std::string(20'000'000, 'a'));
    AnswerParser parser({ .maximumHeaderBytes = limit });
    const auto reading = readInPieces(parser, bytes, [] { return std::size_t { 1000 }; });
    CHECK(parser.progress() == ParseProgress::Failed);
    CHECK(reading.mostUnread + reading.used <= 2 * limit + 1000);
}

// Guards against a header block that is kept as a whole before its size is looked at.
TEST_CASE("RequestParser keeps no more of a header block that arrives at once than its limit")
{
    constexpr std::size_t limit = 16 * 1024;
    RequestParser parser({ .maximumHeaderBytes = limit });
    parser.feed("GET / HTTP/1.1\r\nHost: x\r\n" + makeFields(10'000'000, 1));
    CHECK(parser.failureStatus() == 431);
    CHECK(parser.heldBytes() <= 64 * limit);
}

// Guards against any part of a message that is bounded only by the library, or only if it comes in one piece.
TEMPLATE_TEST_CASE("a message whose parts lie around every bound is read the same however it is cut, and never throws",
    "", AnswerParser, RequestParser)
{
    const auto seed = GENERATE(range(1, 601));
    Random random(static_cast<Random::result_type>(seed));
    const std::size_t limits[] = { 512, 16 * 1024, 64 * 1024, 128 * 1024 };
    const auto limit = limits[random() % std::size(limits)];
    constexpr bool isRequest = std::is_same_v<TestType, RequestParser>;
    const auto message = isRequest ? drawRequest(random, limit) : drawAnswer(random, limit);
    CAPTURE(seed, limit, message.bytes.size(), message.isWithinLimit);
    TestType whole({ .maximumHeaderBytes = limit });
    readInPieces(whole, message.bytes, [&] { return message.bytes.size(); });
    TestType inPieces({ .maximumHeaderBytes = limit });
    const auto reading = readInPieces(inPieces, message.bytes, drawPieces(random));
    const auto expected = message.isWithinLimit ? ParseProgress::Complete : ParseProgress::Failed;
    CHECK(whole.progress() == expected);
    REQUIRE(inPieces.progress() == expected);
    if (expected == ParseProgress::Failed) {
        CHECK_FALSE(inPieces.failureReason().empty());
        return;
    }
    CHECK(reading.used == message.bytes.size());
    CHECK(bodyOf(whole) == bodyOf(inPieces));
}

// Guards against a request within a limit that a configuration raised, which ended the daemon: a field of 64 KiB was an
// exception of the library.
TEST_CASE("RequestParser reads a field of any length within the header limit")
{
    constexpr std::size_t limit = 128 * 1024;
    const std::size_t fieldBytes = GENERATE(60, 65'532, 65'533, 65'534, 66'000, 131'000, 131'072, 200'000);
    const auto fields = "Host: x\r\nCookie: " + std::string(fieldBytes, 'c') + "\r\n\r\n";
    RequestParser parser({ .maximumHeaderBytes = limit });
    parser.feed("GET / HTTP/1.1\r\n" + fields);
    CAPTURE(fieldBytes);
    if (fields.size() <= limit) {
        REQUIRE(parser.progress() == ParseProgress::Complete);
        CHECK(parser.takeRequest().headers.find("Cookie")->size() == fieldBytes);
    } else {
        CHECK(parser.failureStatus() == 431);
    }
}

// Guards against a trailer that only a reader of unfinished ones bounds, so that one behind other requests passes.
TEST_CASE("RequestParser bounds a trailer that has arrived whole")
{
    constexpr std::size_t limit = 16 * 1024;
    const std::size_t fieldBytes = GENERATE(60, 16'000, 17'000, 60'000, 66'000);
    RequestParser parser({ .maximumHeaderBytes = limit });
    parser.feed("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nT: "
        + std::string(fieldBytes, 't') + "\r\n\r\n");
    if (fieldBytes < limit)
        CHECK(parser.progress() == ParseProgress::Complete);
    else
        CHECK(parser.failureStatus() == 431);
}

// Guards against a configured body limit that the parser takes for the room that it reserves at once.
TEST_CASE("RequestParser reserves no room for a body of which nothing has come, whatever its limit")
{
    RequestParser parser({ .maximumBodyBytes = std::numeric_limits<std::size_t>::max() });
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9223372036854775807\r\n\r\n";
    CHECK(parser.feed(head + "ok") == head.size() + 2);
    CHECK(parser.progress() == ParseProgress::NeedsMore);
    CHECK(parser.bodyBytes() == 2);
    CHECK(parser.heldBytes() < 10'000);
}

} // namespace coriandergate::http
