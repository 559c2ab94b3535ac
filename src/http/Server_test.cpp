#include "http/Server.h"

#include "http/AnswerParser.h"
#include "http/Exchange.h"
#include "http/WorkerPool.h"
#include "testing/Application.h"

#include <QCoreApplication>
#include <QHostAddress>
#include <QTcpSocket>
#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <memory>
#include <thread>

using namespace coriandergate;
using namespace coriandergate::http;
using namespace std::chrono_literals;

namespace {

enum class Answering {
    AtOnce,
    Later,
};

// A server that counts the requests that its handler was given.
class CountingServer {
public:
    explicit CountingServer(Answering answering, const Server::Options& options = {})
        : m_server(m_workers, options, [this, answering](std::shared_ptr<Exchange> exchange) {
            ++m_handled;
            if (answering == Answering::AtOnce)
                exchange->answer(makeAnswer(200, "text/plain", exchange->request().target));
            else
                m_workers.postAfter(exchange->worker(), 30ms,
                    [exchange] { exchange->answer(makeAnswer(200, "text/plain", exchange->request().target)); });
        })
    {
        Error reason;
        REQUIRE(m_server.listen(reason));
    }

    [[nodiscard]] auto server() -> Server& { return m_server; }
    [[nodiscard]] auto handled() const -> int { return m_handled; }
    [[nodiscard]] auto workers() -> WorkerPool& { return m_workers; }

private:
    WorkerPool m_workers { WorkerPool::Options { 1 } };
    std::atomic<int> m_handled = 0;
    Server m_server;
};

class RawCaller {
public:
    explicit RawCaller(const Server& server)
    {
        m_socket.connectToHost(QHostAddress(QHostAddress::LocalHost), server.port());
        pump([this] { return m_socket.state() == QAbstractSocket::ConnectedState; });
    }

    auto write(const std::string& bytes) -> void
    {
        m_socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
        m_socket.flush();
    }

    // readUntilEnd() is all that the server sends until it ends the connection, with `last` sent when `after` has come.
    auto readUntilEnd(const std::string& after = {}, const std::string& last = {}) -> std::string
    {
        std::string bytes;
        auto isSent = last.empty();
        pump([&] {
            bytes += m_socket.readAll().toStdString();
            if (!isSent && bytes.find(after) != std::string::npos) {
                isSent = true;
                write(last);
            }
            return m_socket.state() == QAbstractSocket::UnconnectedState;
        });
        return bytes;
    }

    template <typename Condition>
    static auto pump(const Condition& isTrue, std::chrono::milliseconds longest = 5s) -> void
    {
        const auto end = std::chrono::steady_clock::now() + longest;
        while (!isTrue() && std::chrono::steady_clock::now() < end) {
            QCoreApplication::processEvents();
            std::this_thread::sleep_for(1ms);
        }
    }

private:
    QTcpSocket m_socket;
};

auto request(const std::string& path, const std::string& more = {}) -> std::string
{
    return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + more + "\r\n";
}

auto answersIn(std::string bytes) -> std::vector<Answer>
{
    std::vector<Answer> answers;
    while (!bytes.empty()) {
        AnswerParser parser({});
        bytes.erase(0, parser.feed(bytes));
        REQUIRE(parser.progress() == ParseProgress::Complete);
        answers.push_back(parser.takeAnswer());
    }
    return answers;
}

} // namespace

// Guards against handling requests that their callers send again, since they stand behind a response that closes.
TEST_CASE("a request behind a response that closes its connection is never handled")
{
    testing::ensureApplication();
    const auto answering = GENERATE(Answering::AtOnce, Answering::Later);
    const std::string lasts[] = { request("/3") + request("/4"),
        "POST /3 HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n", request("/3").substr(0, 9) };
    for (const auto& last : lasts) {
        for (const bool isLate : { false, true }) {
            CountingServer server(answering);
            RawCaller caller(server.server());
            const auto closing = request("/1") + request("/2", "Connection: close\r\n");
            caller.write(closing + (isLate ? "" : last));
            const auto answers = answersIn(isLate ? caller.readUntilEnd("/2", last) : caller.readUntilEnd());
            CAPTURE(last, isLate);
            REQUIRE(answers.size() == 2);
            CHECK(answers[0].isKeepAlive);
            CHECK(answers[1].body == "/2");
            CHECK_FALSE(answers[1].isKeepAlive);
            CHECK(server.handled() == 2);
        }
    }
}

TEST_CASE("a request behind the response that announces a planned stop is never handled")
{
    testing::ensureApplication();
    const auto answering = GENERATE(Answering::AtOnce, Answering::Later);
    CountingServer server(answering);
    RawCaller caller(server.server());
    server.server().beginDrain();
    caller.write(request("/1") + request("/2") + request("/3"));
    const auto answers = answersIn(caller.readUntilEnd("/1", request("/4")));
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].body == "/1");
    CHECK_FALSE(answers[0].isKeepAlive);
    CHECK(server.handled() == 1);
}

// Guards against a refusal as "not run" of a request whose rest is still taken.
TEST_CASE("a request that the server itself refuses as not run is never handled, nor is what follows")
{
    testing::ensureApplication();
    struct Case {
        std::string first;
        std::string rest;
        int status;
    };
    const std::string post = "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: ";
    const Case cases[] = { { "GET /1 HTTP/1.1\r\nHo", "st: x\r\n\r\n" + request("/2"), 408 },
        { post + "4\r\n\r\nab", "cd" + request("/2"), 408 }, { post + "200\r\n\r\n", request("/2"), 413 },
        { post + "60\r\n\r\n" + std::string(60, 'x'), request("/2"), 503 },
        { "GET /1 HTTP/1.1\r\nHost: x\r\nX-Long: " + std::string(5000, 'x'), "\r\n\r\n" + request("/2"), 431 },
        { "GET /1 HTTP/1.1\r\n\r\n", request("/2"), 400 }, { "nonsense\r\n\r\n", request("/2"), 400 },
        { "GET /1 HTTP/1.1\r\nHost: x\r\nExpect: 7\r\n\r\n", request("/2"), 417 },
        { "POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", request("/2"), 400 } };
    for (const auto& [first, rest, status] : cases) {
        for (const bool hasOneBefore : { false, true }) {
            Server::Options options;
            options.headerTimeout = 100ms;
            options.bodyTimeout = 100ms;
            options.maximumHeaderBytes = 2000;
            options.maximumBodyBytes = 100;
            // Too little for this case alone: a request before it would have no room with it.
            const auto isTooLittle = status == 503;
            if (isTooLittle)
                options.maximumBufferedBytes = 50;
            if (isTooLittle && hasOneBefore)
                continue;
            CountingServer server(Answering::AtOnce, options);
            RawCaller caller(server.server());
            caller.write((hasOneBefore ? request("/0") : "") + first);
            const auto answers = answersIn(caller.readUntilEnd("HTTP/1.1 " + std::to_string(status), rest));
            CAPTURE(first, status, hasOneBefore);
            REQUIRE(answers.size() == (hasOneBefore ? 2U : 1U));
            CHECK(answers.back().status == status);
            CHECK(answers.back().headers.find("Coriandergate-Outcome") == "not-run");
            CHECK_FALSE(answers.back().isKeepAlive);
            CHECK(server.handled() == (hasOneBefore ? 1 : 0));
        }
    }
}

// Load: more connections that say nothing than may be open, while the workers, which close them, are busy elsewhere.
TEST_CASE("an ordinary request behind a crowd of silent connections is answered once the workers have closed some")
{
    testing::ensureApplication();
    constexpr std::size_t maximumConnections = 4;
    CountingServer counting(Answering::AtOnce, { .maximumConnections = maximumConnections });
    std::promise<void> workerMayGoOn;
    counting.workers().post(0, [isFree = workerMayGoOn.get_future().share()] { isFree.wait(); });

    std::vector<std::unique_ptr<RawCaller>> silent;
    constexpr std::size_t silentConnections = 40;
    for (std::size_t i = 0; i < silentConnections; ++i)
        silent.push_back(std::make_unique<RawCaller>(counting.server()));
    RawCaller ordinary(counting.server());
    ordinary.write(request("/ordinary", "Connection: close\r\n"));
    RawCaller::pump([] { return false; }, 50ms); // the listener has dealt with all that it will accept
    CHECK(counting.server().connections() <= maximumConnections + 16);
    workerMayGoOn.set_value();

    const auto answers = answersIn(ordinary.readUntilEnd());
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().body == "/ordinary");
    CHECK(counting.server().connections() <= maximumConnections + 16);
}
