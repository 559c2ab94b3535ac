// The bounds of the parsers on each part of a message, also far beyond those of the library behind them.
#include "http/AnswerParser.h"

#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <string>

namespace coriandergate::http {

namespace {

    using Random = std::mt19937_64;

    constexpr std::size_t largestFieldOfLibrary = 65'533; // a longer one ended the process with an exception

    struct Reading {
        ParseProgress progress = ParseProgress::NeedsMore;
        std::size_t mostUnread = 0; // bytes that the parser left, at most
        std::size_t used = 0;
    };

    // Feeds `bytes` in pieces that `sizes` chooses, as a connection would.
    template <typename Parser>
    auto readInPieces(Parser& parser, const std::string& bytes, const std::function<std::size_t()>& sizes) -> Reading
    {
        Reading reading;
        std::string unread;
        for (std::size_t given = 0; given < bytes.size() && parser.progress() == ParseProgress::NeedsMore;) {
            const auto piece = std::min(sizes(), bytes.size() - given);
            unread.append(bytes, given, piece);
            given += piece;
            const auto used = parser.feed(unread);
            unread.erase(0, used);
            reading.used += used;
            reading.mostUnread = std::max(reading.mostUnread, unread.size());
        }
        reading.progress = parser.progress();
        return reading;
    }

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

    auto drawAnswer(Random& random, std::size_t limit) -> DrawnMessage
    {
        DrawnMessage message;
        const auto limitPart = [&](std::size_t bytes) -> void { message.isWithinLimit &= bytes <= limit; };
        const auto add = [&](const std::string& part) -> void { message.bytes += part; };
        for (auto interim = random() % 3; interim > 0; --interim) {
            const auto fields = drawPart(random, limit) + "\r\n";
            limitPart(fields.size());
            add("HTTP/1.1 103 Early Hints\r\n" + fields);
        }
        const auto fields = drawPart(random, limit) + "Transfer-Encoding: chunked\r\n\r\n";
        limitPart(fields.size());
        add("HTTP/1.1 200 OK\r\n" + fields);
        // The end of a chunk is read with the line before the next.
        const char* const lineEnd = random() % 2 == 0 ? "" : "2\r\nok\r\n";
        add(lineEnd);
        const std::size_t chunkEnd = *lineEnd ? 2 : 0;
        const auto extension = random() % 3 == 0 ? ";a=" + std::string(drawPart(random, limit).size() + 1, 'e') : "";
        const auto line = "2" + extension + "\r\n";
        limitPart(line.size() + chunkEnd);
        add(line + "ok\r\n");
        const auto end = "0\r\n" + drawPart(random, limit) + "\r\n";
        limitPart(end.size() + 2);
        add(end);
        return message;
    }

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
    CHECK(reading.progress == ParseProgress::Failed);
    CHECK(reading.mostUnread + reading.used <= 2 * limit + 1000);
}

// Guards against any part of an answer that is bounded only by the library, or only in one piece.
TEST_CASE("an answer whose parts lie around every bound is read the same however it is cut, and never throws")
{
    const auto seed = GENERATE(range(1, 601));
    Random random(static_cast<Random::result_type>(seed));
    const std::size_t limits[] = { 512, 16 * 1024, 64 * 1024, 128 * 1024 };
    const auto limit = limits[random() % std::size(limits)];
    const auto message = drawAnswer(random, limit);
    CAPTURE(seed, limit, message.bytes.size(), message.isWithinLimit);
    AnswerParser whole({ .maximumHeaderBytes = limit });
    readInPieces(whole, message.bytes, [&] { return message.bytes.size(); });
    AnswerParser inPieces({ .maximumHeaderBytes = limit });
    const auto reading = readInPieces(inPieces, message.bytes, drawPieces(random));
    const auto expected = message.isWithinLimit ? ParseProgress::Complete : ParseProgress::Failed;
    CHECK(whole.progress() == expected);
    CHECK(inPieces.progress() == expected);
    if (expected == ParseProgress::Complete && whole.progress() == expected && inPieces.progress() == expected) {
        const auto answer = whole.takeAnswer();
        CHECK(answer.body == inPieces.takeAnswer().body);
        CHECK(reading.used == message.bytes.size());
    }
}

} // namespace coriandergate::http
