// Each fault that was measured in Qt's own HTTP classes, against a real daemon: it must not show here.
#include "fixture/DaemonUnderTest.h"
#include "fixture/ScriptedTarget.h"
#include "fixture/TargetUnderTest.h"
#include "testing/Application.h"
#include "testing/SimpleCall.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <QTemporaryDir>
#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

using namespace coriandergate;
using namespace coriandergate::testing;

namespace {

constexpr std::chrono::seconds patience { 10 };
constexpr int patienceMilliseconds = 10000;

auto callWithKey(const DaemonUnderTest& daemon, const std::string& method, const std::string& path,
    const std::string& body) -> http::Answer
{
    http::Request request { .method = method, .target = path, .headers = {}, .body = body };
    request.headers.add("X-Api-Key", "demo-key");
    Error reason;
    auto answer = simpleCall(daemon.callers(), request, patience, reason);
    INFO(reason.toText());
    REQUIRE(answer);
    return std::move(*answer);
}

// waitForTarget() waits until `entry` has heard of a target beside another daemon.
auto waitForTarget(const DaemonUnderTest& entry) -> void
{
    for (int round = 0; round < 200; ++round) {
        Error reason;
        const auto answer = simpleCall(
            entry.admin(), { .method = "GET", .target = "/metrics", .headers = {}, .body = {} }, patience, reason);
        if (answer && answer->body.find("\ncoriandergate_remote_targets 1") != std::string::npos)
            return;
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    FAIL("the other daemon's target is not known");
}

auto connectTo(QTcpSocket& socket, const std::string& address) -> void
{
    const auto colon = address.rfind(':');
    socket.connectToHost(
        QHostAddress(QHostAddress::LocalHost), static_cast<quint16>(std::stoi(address.substr(colon + 1))));
    REQUIRE(socket.waitForConnected(patienceMilliseconds));
}

auto writeAll(QTcpSocket& socket, const std::string& bytes) -> void
{
    socket.write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket.flush();
}

auto readUntil(QTcpSocket& socket, const std::string& end) -> std::string
{
    std::string bytes;
    while (bytes.find(end) == std::string::npos && socket.waitForReadyRead(patienceMilliseconds))
        bytes += socket.readAll().toStdString();
    return bytes;
}

} // namespace

TEST_CASE("a target that gives no answer, or half of one, sees each request once")
{
    const std::string heads[] = { "", "HTTP/1.1 200 OK\r\nConte", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "HTTP/1.1 200 OK\r\n\r\nno length",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello", "nonsense\r\n\r\n",
        "HTTP/1.1 000 Odd\r\n\r\n", "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" };
    for (const auto& bytes : heads) {
        for (const std::string path : { "/orders", "/idempotent" }) {
            INFO(path << " answered by '" << bytes << "'");
            DaemonUnderTest daemon;
            ScriptedTarget target({ .bytes = bytes, .isClosedAfter = true });
            announce(daemon, "demo", target.address());
            const auto answer = callWithKey(daemon, "POST", path, "cups");
            CHECK(answer.status == 502);
            CHECK(answer.headers.find("Coriandergate-Outcome") == "may-have-run");
            CHECK(target.requests() == 1);
        }
    }
}

TEST_CASE("a request sent on a reused connection that the target then closes is seen once")
{
    DaemonUnderTest daemon({ "--workers=1" });
    ScriptedTarget target({ .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" });
    announce(daemon, "demo", target.address());
    CHECK(callWithKey(daemon, "GET", "/a", "").status == 200);
    CHECK(callWithKey(daemon, "GET", "/a", "").status == 200);
    CHECK(target.requests() == 2);
}

TEST_CASE("a redirect and an encoded body reach the caller as the target sent them")
{
    const std::string gzipped = "\x1f\x8b\x08\x00 not really compressed";
    struct Case {
        std::string status;
        std::string header;
        std::string body;
    };
    const Case cases[] = { { "302 Found", "Location: /elsewhere", "" },
        { "200 Fine So Far", "Content-Encoding: gzip", gzipped }, { "304 Not Modified", "ETag: \"x\"", "" } };
    for (const auto& [status, header, body] : cases) {
        INFO(status);
        DaemonUnderTest daemon;
        const auto length = status.starts_with("304") ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        ScriptedTarget target({ .bytes = "HTTP/1.1 " + status + "\r\n" + header + "\r\n" + length + "\r\n" + body });
        announce(daemon, "demo", target.address());
        const auto answer = callWithKey(daemon, "GET", "/a", "");
        CHECK(std::to_string(answer.status) + " " + answer.reason == status);
        CHECK(answer.headers.find(header.substr(0, header.find(':'))) == header.substr(header.find(' ') + 1));
        CHECK(answer.body == body);
        CHECK(target.requests() == 1);
    }
}

TEST_CASE("as many requests run at once as the target has slots")
{
    const auto declaration = std::string(CORIANDERGATE_SOURCE) + "/src/fixture/wide.yaml";
    DaemonUnderTest daemon({ "--declaration=" + declaration });
    TargetUnderTest target(daemon, { "--service=wide", "--slots=40", "--service-time=300" });
    ensureApplication();
    std::vector<std::unique_ptr<QTcpSocket>> callers;
    for (int i = 0; i < 40; ++i) {
        callers.push_back(std::make_unique<QTcpSocket>());
        connectTo(*callers.back(), daemon.callers());
        writeAll(*callers.back(), "GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    for (auto& caller : callers)
        CHECK(readUntil(*caller, "\r\n\r\n").starts_with("HTTP/1.1 200 OK"));
    CHECK(target.seen()["highestConcurrency"] == 40);
}

TEST_CASE("answers to pipelined requests leave in the order of the requests")
{
    DaemonUnderTest daemon;
    TargetUnderTest target(daemon, { "--service=demo" });
    ensureApplication();
    QTcpSocket caller;
    connectTo(caller, daemon.callers());
    const std::string common = " HTTP/1.1\r\nHost: x\r\nX-Api-Key: demo-key\r\n";
    writeAll(caller,
        "POST /1" + common + "X-Service-Time: 200\r\nContent-Length: 5\r\n\r\nfirst" + "POST /2" + common
            + "Content-Length: 6\r\n\r\nsecond" + "POST /3" + common + "Content-Length: 5\r\n\r\nthird");
    const auto bytes = readUntil(caller, "third");
    const auto first = bytes.find("first");
    const auto second = bytes.find("second");
    CHECK(first < second);
    CHECK(second < bytes.find("third"));
    CHECK(second != std::string::npos);
}

TEST_CASE("a caller that leaves before its answer costs the daemon nothing and cancels its request")
{
    DaemonUnderTest daemon;
    TargetUnderTest target(daemon, { "--service=demo", "--service-time=2000" });
    ensureApplication();
    for (int i = 0; i < 4; ++i) {
        QTcpSocket caller;
        connectTo(caller, daemon.callers());
        writeAll(caller, "GET /slow HTTP/1.1\r\nHost: x\r\nX-Api-Key: demo-key\r\n\r\n");
        while (target.seen()["requests"].size() <= static_cast<std::size_t>(i)) { }
        caller.abort();
    }
    CHECK(daemon.process().waitForLine("status=499", patience));
    target.setMode(R"({"slowFactor": 0.001})");
    CHECK(callWithKey(daemon, "GET", "/a", "").status == 200);
    CHECK(target.seen()["cancelled"] == 4);
}

TEST_CASE("a request whose length can be read in two ways is refused and seen by no target")
{
    DaemonUnderTest daemon;
    TargetUnderTest target(daemon, { "--service=demo" });
    ensureApplication();
    const std::string start = "POST /a HTTP/1.1\r\nHost: x\r\nX-Api-Key: demo-key\r\n";
    const std::string requests[] = { start + "Content-Length: 4\r\nContent-Length: 5\r\n\r\ncups!",
        start + "Content-Length: 4\r\nContent-Length: 4\r\n\r\ncups",
        start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        start + "Content-Length: +4\r\n\r\ncups", start + "Content-Length: 4, 4\r\n\r\ncups",
        start + "Content-Length : 4\r\n\r\ncups", start + " Content-Length: 4\r\n\r\ncups",
        start + "Host: y\r\nContent-Length: 4\r\n\r\ncups", "POST /a HTTP/1.1\r\nX-Api-Key: demo-key\r\n\r\n",
        "POST http://x/a HTTP/1.1\r\nHost: x\r\nX-Api-Key: demo-key\r\n\r\n" };
    for (const auto& bytes : requests) {
        INFO(bytes);
        QTcpSocket caller;
        connectTo(caller, daemon.callers());
        writeAll(caller, bytes);
        const auto answer = readUntil(caller, "\r\n\r\n");
        CHECK((answer.starts_with("HTTP/1.1 4") || answer.starts_with("HTTP/1.1 501")));
        CHECK(answer.find("Coriandergate-Outcome: not-run") != std::string::npos);
    }
    CHECK(target.seen()["requests"].empty());
}

TEST_CASE("a field in a chunked trailer is not taken for a header")
{
    DaemonUnderTest daemon;
    TargetUnderTest target(daemon, { "--service=demo" });
    ensureApplication();
    QTcpSocket caller;
    connectTo(caller, daemon.callers());
    writeAll(caller,
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: X-Api-Key\r\n\r\n4\r\ncups\r\n0\r\n"
        "X-Api-Key: demo-key\r\n\r\n");
    CHECK(readUntil(caller, "\r\n\r\n").starts_with("HTTP/1.1 401"));
    CHECK(target.seen()["requests"].empty());
}

// Guards against a target's headers that callers take for the daemon's word that a request was not run.
TEST_CASE("a target can't speak for the daemon, whatever its status")
{
    const QTemporaryDir folder;
    const auto file = folder.filePath("routes.yaml").toStdString();
    std::ofstream(file) << "services: [{ name: demo }]\n"
                           "routes: [{ name: orders, pathPrefix: /, service: demo, isOpen: true }]\n";
    const std::vector<std::string> common { "--declaration=" + file, "--target-ttl-ms=60000" };
    for (const int status : { 200, 408, 409, 421, 429, 503 }) {
        DaemonUnderTest owner(common);
        DaemonUnderTest entry({ common[0], common[1], "--peers=" + owner.peers() });
        ScriptedTarget target({ .bytes = "HTTP/1.1 " + std::to_string(status)
                + " X\r\nCoriandergate-Outcome: not-run\r\ncoriandergate-refusal: 1\r\nCORIANDERGATE-REPORT: "
                  "{}\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno",
            .isClosedAfter = true });
        announce(owner, "demo", target.address());
        waitForTarget(entry);
        for (const auto* daemon : { &owner, &entry }) {
            const auto answer = callWithKey(*daemon, "POST", "/orders", "cups");
            CAPTURE(status, daemon == &owner);
            CHECK(answer.status == status);
            CHECK(answer.headers.count("Coriandergate-Outcome") == 1);
            CHECK(answer.headers.find("Coriandergate-Outcome") == "ran");
            CHECK_FALSE(answer.headers.find("Coriandergate-Refusal"));
            CHECK_FALSE(answer.headers.find("Coriandergate-Report"));
        }
        CHECK(target.requests() == 2);
    }
}
