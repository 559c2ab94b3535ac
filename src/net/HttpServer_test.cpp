#include "net/HttpServer.h"

#include "base/Error.h"
#include "http/Exchange.h"
#include "testing/RunUntil.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

namespace coriandergate::net {

using boost::asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

    // Served is a server that keeps every request until the test answers it, and one caller.
    struct Served {
        explicit Served(const HttpServer::Options& options = {})
            : server(io, options, [this](std::shared_ptr<http::Exchange> exchange) { exchanges.push_back(exchange); })
            , caller(io)
        {
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
            caller.connect({ boost::asio::ip::address_v4::loopback(), server.port() });
        }

        auto write(const std::string& bytes) -> void { boost::asio::write(caller, boost::asio::buffer(bytes)); }

        template <typename Condition> auto runUntil(const Condition& isTrue) -> bool
        {
            return testing::runUntil(io, isTrue);
        }

        // readSome() is what has come for the caller until `text` is in it or two seconds have passed.
        auto readUntil(const std::string& text) -> std::string
        {
            std::string received;
            caller.non_blocking(true);
            runUntil([&] {
                std::array<char, 65536> buffer {};
                boost::system::error_code error;
                const auto count = caller.read_some(boost::asio::buffer(buffer), error);
                received.append(buffer.data(), count);
                return received.find(text) != std::string::npos;
            });
            return received;
        }

        boost::asio::io_context io;
        std::vector<std::shared_ptr<http::Exchange>> exchanges;
        HttpServer server;
        tcp::socket caller;
    };

    auto get(const std::string& path) -> std::string { return "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n"; }

} // namespace

TEST_CASE("pipelined requests are handled side by side and answered in their order")
{
    Served test;
    test.write(get("/1") + get("/2") + get("/3"));
    REQUIRE(test.runUntil([&] { return test.exchanges.size() == 3; }));
    for (const auto i : { 2, 0, 1 })
        test.exchanges[static_cast<std::size_t>(i)]->answer(
            http::makeAnswer(200, "text/plain", "answer " + std::to_string(i + 1)));
    const auto received = test.readUntil("answer 3");
    CHECK(received.find("answer 1") < received.find("answer 2"));
    CHECK(received.find("answer 2") < received.find("answer 3"));
}

// Load: a connection that brings hundreds of requests at once, beside one that brings a single one.
TEST_CASE("a long pipeline that is answered at once doesn't hold up a request on another connection")
{
    boost::asio::io_context io;
    std::vector<std::string> handled;
    HttpServer server(io, {}, [&handled](const std::shared_ptr<http::Exchange>& exchange) {
        handled.push_back(exchange->request().target);
        exchange->answer(http::makeAnswer(404, "text/plain", ""));
    });
    Error reason;
    REQUIRE(server.listen("127.0.0.1:0", reason));
    const tcp::endpoint address(boost::asio::ip::address_v4::loopback(), server.port());
    tcp::socket pipelining(io);
    tcp::socket ordinary(io);
    pipelining.connect(address);
    ordinary.connect(address);
    // Both connections are open, and nothing has arrived on them, before the first bytes are sent.
    REQUIRE(testing::runUntil(io, [&server] { return server.connections() == 2; }));

    constexpr std::size_t pipelined = 300; // of about 40 bytes, in one read
    std::string requests;
    for (std::size_t i = 0; i < pipelined; ++i)
        requests += get("/many");
    boost::asio::write(pipelining, boost::asio::buffer(requests));
    boost::asio::write(ordinary, boost::asio::buffer(get("/one")));
    REQUIRE(testing::runUntil(io, [&handled] { return handled.size() == pipelined + 1; }));
    const auto position = std::find(handled.begin(), handled.end(), "/one") - handled.begin();
    CHECK(position < static_cast<std::ptrdiff_t>(pipelined / 10));
}

TEST_CASE("a caller that leaves is noticed while its request is handled")
{
    Served test;
    test.write(get("/1"));
    REQUIRE(test.runUntil([&] { return test.exchanges.size() == 1; }));
    bool hasLeft = false;
    test.exchanges[0]->onAbandoned([&] { hasLeft = true; });
    test.caller.close();
    CHECK(test.runUntil([&] { return hasLeft; }));
    CHECK(test.server.openRequests() == 0);
}

// A planned stop waits for open requests. One whose answer is still being written to a slow caller is open.
TEST_CASE("a request is open until its answer is written")
{
    Served test;
    test.write(get("/1"));
    REQUIRE(test.runUntil([&] { return test.exchanges.size() == 1; }));
    constexpr std::size_t large = 16 * 1024 * 1024;
    test.exchanges[0]->answer(http::makeAnswer(200, "text/plain", std::string(large, 'x') + "end"));
    for (int i = 0; i < 20; ++i)
        test.io.run_one_for(5ms);
    CHECK(test.server.openRequests() == 1);
    CHECK(test.readUntil("end").size() > large);
    CHECK(test.runUntil([&] { return test.server.openRequests() == 0; }));
}

TEST_CASE("a request that doesn't arrive in time is refused, and an idle connection is closed")
{
    Served test({ .headerTimeout = 100ms, .idleTimeout = 150ms });
    SECTION("half a request")
    {
        test.write("GET /1 HTTP/1.1\r\n");
        CHECK(test.readUntil("\r\n\r\n").starts_with("HTTP/1.1 408"));
        CHECK(test.exchanges.empty());
    }
    SECTION("none")
    {
        CHECK(test.runUntil([&] { return test.server.connections() == 0; }));
    }
}

TEST_CASE("while it drains, a server ends each connection with its last answer")
{
    Served test;
    test.write(get("/1") + get("/2"));
    REQUIRE(test.runUntil([&] { return test.exchanges.size() == 2; }));
    test.server.beginDrain();
    for (const auto& exchange : test.exchanges)
        exchange->answer(http::makeAnswer(200, "text/plain", "answer"));
    const auto received = test.readUntil("Connection: close");
    CHECK(received.find("200") != received.rfind("200"));
    CHECK(received.find("Connection: close") > received.find("answer"));
}

TEST_CASE("a body beyond the limit, and bytes beyond the buffers, are refused")
{
    SECTION("the limit of one body")
    {
        Served test({ .maximumBodyBytes = 10 });
        test.write("POST /1 HTTP/1.1\r\nHost: test\r\nContent-Length: 11\r\n\r\n01234567890");
        CHECK(test.readUntil("\r\n\r\n").starts_with("HTTP/1.1 413"));
    }
    SECTION("the buffers of all")
    {
        Served test({ .maximumBufferedBytes = 10 });
        test.write("POST /1 HTTP/1.1\r\nHost: test\r\nContent-Length: 11\r\n\r\n01234567890");
        CHECK(test.readUntil("\r\n\r\n").starts_with("HTTP/1.1 503"));
    }
    // Nothing of either reached the handler.
}

// Guards against one large body that shuts out all other callers while it arrives, and while its connection lingers
// after it was refused.
TEST_CASE("a body beyond the buffers is refused, and small requests beside it are not")
{
    constexpr std::size_t limit = 64 * 1024;
    Served test({ .maximumBufferedBytes = limit });
    const auto sendSmall = [&test] {
        const auto before = test.exchanges.size();
        tcp::socket other(test.io);
        other.connect({ boost::asio::ip::address_v4::loopback(), test.server.port() });
        const std::string body(2000, 'x');
        boost::asio::write(
            other, boost::asio::buffer("POST /1 HTTP/1.1\r\nHost: test\r\nContent-Length: 2000\r\n\r\n" + body));
        return test.runUntil([&] { return test.exchanges.size() > before; });
    };
    test.write("POST /1 HTTP/1.1\r\nHost: test\r\nContent-Length: 1000000\r\n\r\n" + std::string(limit - 1000, 'x'));
    for (int i = 0; i < 20; ++i)
        test.io.run_one_for(5ms);
    CHECK(sendSmall()); // the large one has nearly used up the buffers
    test.write(std::string(limit, 'x'));
    CHECK(test.readUntil("\r\n\r\n").starts_with("HTTP/1.1 503"));
    CHECK(test.server.connections() > 0);
    for (int i = 0; i < 10; ++i)
        CHECK(sendSmall());
    // The rest of the body is no request, whatever is in it.
    const auto before = test.exchanges.size();
    test.write(get("/smuggled"));
    for (int i = 0; i < 20; ++i)
        test.io.run_one_for(5ms);
    CHECK(test.exchanges.size() == before);
}

// Guards against a request that runs twice: it is sent again when the answer before it ends the connection.
TEST_CASE("nothing behind a request that ends its connection is handled")
{
    const auto last = GENERATE(std::string("GET /1 HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n"),
        std::string("GET /1 HTTP/1.0\r\nHost: test\r\n\r\n"));
    const bool isInOneSegment = GENERATE(true, false);
    Served test;
    test.write(last + (isInOneSegment ? get("/2") : ""));
    REQUIRE(test.runUntil([&] { return !test.exchanges.empty(); }));
    if (!isInOneSegment)
        test.write(get("/2"));
    for (int i = 0; i < 20; ++i)
        test.io.run_one_for(5ms);
    CHECK(test.exchanges.size() == 1);
    test.exchanges[0]->answer(http::makeAnswer(200, "text/plain", "answer"));
    CHECK(test.readUntil("answer").find("Connection: close") != std::string::npos);
    for (int i = 0; i < 20; ++i)
        test.io.run_one_for(5ms);
    CHECK(test.exchanges.size() == 1);
    CHECK(test.server.openRequests() == 0);
}

// Guards against a reset that destroys an answer on its way when bytes come behind it.
TEST_CASE("the last answer of a connection arrives whole, although its caller sends more and the server stops")
{
    Served test;
    test.write(get("/1"));
    REQUIRE(test.runUntil([&] { return test.exchanges.size() == 1; }));
    test.server.beginDrain();
    constexpr std::size_t large = 64 * 1024; // half of it waits at the server, since the caller has little room
    test.caller.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    test.exchanges[0]->answer(http::makeAnswer(200, "text/plain", std::string(large, 'x') + "end"));
    REQUIRE(test.runUntil([&] { return test.server.openRequests() == 0; }));
    test.server.finishDrain();
    test.write(get("/2"));
    CHECK(test.readUntil("end").size() > large);
    CHECK(test.exchanges.size() == 1);
}

// Guards against the rest of a refused body that is taken for a request, while an earlier request is still under way.
TEST_CASE("nothing is read behind a refused request, also while another one is under way before it")
{
    Served test({ .maximumBodyBytes = 10 });
    test.write(get("/1"));
    REQUIRE(test.runUntil([&] { return test.exchanges.size() == 1; }));
    test.write("POST /2 HTTP/1.1\r\nHost: test\r\nContent-Length: 1000\r\n\r\n");
    for (int i = 0; i < 20; ++i)
        test.io.run_one_for(5ms);
    test.write(get("/smuggled"));
    for (int i = 0; i < 20; ++i)
        test.io.run_one_for(5ms);
    CHECK(test.exchanges.size() == 1);
    test.exchanges[0]->answer(http::makeAnswer(200, "text/plain", "answer"));
    const auto received = test.readUntil("413");
    CHECK(received.find("HTTP/1.1 200") < received.find("HTTP/1.1 413"));
    CHECK(received.find("HTTP/1.1 413") == received.rfind("HTTP/1.1 413"));
}

// Guards against a caller that waits for the interim answer until its request is refused as too slow.
TEST_CASE("a request that waits for 100 Continue gets it once, also behind another request")
{
    const bool isBehind = GENERATE(true, false);
    Served test;
    test.write((isBehind ? get("/1") : "")
        + "POST /2 HTTP/1.1\r\nHost: test\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (isBehind) {
        REQUIRE(test.runUntil([&] { return test.exchanges.size() == 1; }));
        test.exchanges[0]->answer(http::makeAnswer(200, "text/plain", "answer 1"));
    }
    auto received = test.readUntil("100 Continue");
    CHECK(received.find("100 Continue") != std::string::npos);
    test.write("4");
    for (int i = 0; i < 20; ++i)
        test.io.run_one_for(5ms);
    const std::size_t requests = isBehind ? 2 : 1;
    test.write("\r\nbody\r\n0\r\n\r\n");
    REQUIRE(test.runUntil([&] { return test.exchanges.size() == requests; }));
    test.exchanges.back()->answer(http::makeAnswer(200, "text/plain", "answer 2"));
    received += test.readUntil("answer 2");
    CHECK(received.find("100 Continue") == received.rfind("100 Continue"));
}

// Guards against a request that is handled and refused: its last bytes come while the process is suspended, and its
// timeout is due when it resumes.
TEST_CASE("a request whose last bytes come with its timeout is either handled or refused")
{
    const auto [first, rest]
        = GENERATE(table<std::string, std::string>({ { "GET /1 HTTP/1.1\r\n", "Host: test\r\n\r\n" },
            { "POST /1 HTTP/1.1\r\nHost: test\r\nContent-Length: 4\r\n\r\nab", "cd" },
            { "POST /1 HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", "\r\n" } }));
    Served test({ .headerTimeout = 50ms });
    test.write(first);
    for (int i = 0; i < 5; ++i)
        test.io.run_one_for(5ms);
    std::this_thread::sleep_for(100ms);
    test.write(rest + get("/2"));
    for (int i = 0; i < 20; ++i)
        test.io.run_one_for(5ms);
    const bool isRefused = test.caller.available() > 0;
    CHECK(test.exchanges.empty() == isRefused);
}

} // namespace coriandergate::net
