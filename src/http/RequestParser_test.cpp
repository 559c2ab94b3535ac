#include "http/RequestParser.h"

#include "http/Serialize.h"
#include "testing/ReadInPieces.h"

#include <catch2/catch.hpp>
#include <random>

using namespace coriandergate::http;

namespace {

struct Reading {
    ParseProgress progress = ParseProgress::NeedsMore;
    int status = 0;
    std::string bytes; // of the request as it was understood
    std::size_t used = 0;
};

// Feeds `bytes` in pieces that `sizes` chooses, as a connection would.
auto readInPieces(const std::string& bytes, const std::function<std::size_t()>& sizes) -> Reading
{
    RequestParser parser({ .maximumHeaderBytes = 1024, .maximumBodyBytes = 1024 });
    Reading reading;
    reading.used = coriandergate::testing::readInPieces(parser, bytes, sizes).used;
    reading.progress = parser.progress();
    reading.status = parser.failureStatus();
    if (reading.progress == ParseProgress::Complete)
        reading.bytes = serializeRequest(parser.takeRequest());
    return reading;
}

const std::string samples[] = { "GET /a?b=c HTTP/1.1\r\nHost: x\r\nX-Api-Key: k\r\n\r\n",
    "POST /orders HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nIdempotency-Key: 1\r\n\r\ncups",
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ncups\r\n0\r\nX-T: 1\r\n\r\n",
    "PUT /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nok",
    "HEAD / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" };

auto mutate(std::string bytes, std::mt19937_64& random) -> std::string
{
    static const std::string s_pieces[] = { "\r\n", "\r", "\n", " ", ":", "\0", "Content-Length: 9\r\n",
        "Transfer-Encoding: chunked\r\n", "Host: y\r\n", "4294967296", "-1", "\xff", "0\r\n\r\n", "\t" };
    const auto count = 1 + random() % 4;
    for (std::size_t i = 0; i < count && !bytes.empty(); ++i) {
        const auto at = random() % bytes.size();
        switch (random() % 4) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(at, 1 + random() % 8);
            break;
        case 2:
            bytes.insert(at, s_pieces[random() % std::size(s_pieces)]);
            break;
        default:
            bytes.insert(at, bytes.substr(random() % bytes.size(), 1 + random() % 24));
        }
    }
    return bytes;
}

} // namespace

TEST_CASE("20,000 damaged requests are understood the same however they are cut into pieces")
{
    std::mt19937_64 random(20261204);
    int complete = 0;
    int refused = 0;
    for (int i = 0; i < 20000; ++i) {
        const auto bytes = mutate(samples[random() % std::size(samples)], random);
        const auto whole = readInPieces(bytes, [&bytes] { return bytes.size(); });
        const auto single = readInPieces(bytes, [] { return std::size_t { 1 }; });
        const auto pieces = readInPieces(bytes, [&random] { return 1 + random() % 7; });
        INFO("case " << i << ": " << bytes);
        for (const auto& other : { single, pieces }) {
            // A fault may be seen later when the bytes come in pieces; until then the request waits and never runs.
            const bool isComplete = other.progress == ParseProgress::Complete;
            CHECK(isComplete == (whole.progress == ParseProgress::Complete));
            CHECK(other.bytes == whole.bytes);
            CHECK((!isComplete || other.used == whole.used));
        }
        complete += whole.progress == ParseProgress::Complete;
        refused += whole.progress == ParseProgress::Failed;
        if (whole.progress == ParseProgress::Failed)
            CHECK((whole.status >= 400 && whole.status < 600));
    }
    CHECK(complete > 1000);
    CHECK(refused > 1000);
}

// Guards against an assertion of Boost.Beast on a legal request, in builds that have assertions.
TEST_CASE("a chunked body may end at any byte of a read")
{
    const std::string head = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string body
        = GENERATE("0\r\n\r\n", "0\r\nT: 1\r\n\r\n", "2\r\nok\r\n0\r\n\r\n", "1;e=1\r\nk\r\n00\r\n\r\n");
    for (std::size_t cut = 0; cut < body.size(); ++cut) {
        RequestParser parser({});
        auto unread = head + body.substr(0, cut);
        unread.erase(0, parser.feed(unread));
        CHECK(parser.progress() == ParseProgress::NeedsMore);
        unread += body.substr(cut);
        CHECK(parser.feed(unread) == unread.size());
        CHECK(parser.progress() == ParseProgress::Complete);
    }
}

TEST_CASE("a request that came without Host is sent with an empty one")
{
    RequestParser parser({});
    parser.feed("GET /a HTTP/1.0\r\n\r\n");
    REQUIRE(parser.progress() == ParseProgress::Complete);
    RequestParser next({});
    next.feed(serializeRequest(parser.takeRequest()));
    CHECK(next.progress() == ParseProgress::Complete);
    CHECK(next.takeRequest().headers.find("Host") == "");
}

TEST_CASE("headers and bodies beyond their limits are refused")
{
    const auto all = [] { return std::size_t { 100000 }; };
    const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
    CHECK(readInPieces(start + "X: " + std::string(2000, 'a') + "\r\n\r\n", all).status == 431);
    CHECK(readInPieces(start + "X: " + std::string(2000, 'a'), [] { return std::size_t { 100 }; }).status == 431);
    CHECK(readInPieces(start + "Content-Length: 1025\r\n\r\n", all).status == 413);
    CHECK(
        readInPieces(start + "Transfer-Encoding: chunked\r\n\r\n800\r\n" + std::string(2048, 'a'), all).status == 413);
    CHECK(readInPieces(start + "Content-Length: 1024\r\n\r\n" + std::string(1024, 'a'), all).progress
        == ParseProgress::Complete);
}
