#include "testing/FaultProxy.h"

#include "base/Error.h"
#include "testing/ProcessUnderTest.h"

#include <catch2/catch.hpp>

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>
#include <QUdpSocket>

#include <string>

using namespace coriandergate;
using namespace coriandergate::testing;

namespace {

constexpr std::chrono::seconds patience { 10 };
constexpr int patienceMilliseconds = 10000;
constexpr int silenceMilliseconds = 200;

// Relay is a fault proxy in its own process before a server in this one.
struct Relay {
    QTcpServer upstream;
    QUdpSocket datagrams;
    std::unique_ptr<ProcessUnderTest> proxy;
    std::uint16_t port = 0;

    explicit Relay(const std::string& fault)
    {
        REQUIRE(upstream.listen(QHostAddress(QHostAddress::LocalHost)));
        REQUIRE(datagrams.bind(QHostAddress(QHostAddress::LocalHost), upstream.serverPort()));
        proxy = std::make_unique<ProcessUnderTest>(toolPath(CORIANDERGATE_TOOLS, "coriandergate-fault-proxy"),
            std::vector<std::string> { "--upstream=" + std::to_string(upstream.serverPort()) });
        Error reason;
        REQUIRE(proxy->start(reason));
        const auto line = proxy->waitForLine("listening on", patience);
        REQUIRE(line);
        port = static_cast<std::uint16_t>(std::stoi(line->substr(line->rfind(':') + 1)));
        REQUIRE(proxy->command(fault, patience) == "ok");
    }
};

auto readAtLeast(QTcpSocket& socket, qsizetype count) -> QByteArray
{
    QByteArray bytes;
    while (bytes.size() < count && socket.waitForReadyRead(patienceMilliseconds))
        bytes += socket.readAll();
    return bytes + socket.readAll();
}

auto readToEnd(QTcpSocket& socket) -> QByteArray
{
    QByteArray bytes;
    while (socket.waitForReadyRead(patienceMilliseconds))
        bytes += socket.readAll();
    return bytes + socket.readAll();
}

}

TEST_CASE("a fault proxy puts the commanded fault on a connection")
{
    struct Case {
        std::string fault;
        std::string request; // what the upstream sees of "0123456789"
        std::string answer; // what the caller sees of "abcdefghij"
        bool isCut;
    };
    const auto row = GENERATE(Case { "none", "0123456789", "abcdefghij", false },
        Case { "delay 20", "0123456789", "abcdefghij", false }, Case { "cut-answer 3", "0123456789", "abc", true },
        Case { "half-answer", "0123456789", "abcde", true }, Case { "cut-request 4", "0123", "", true });
    CAPTURE(row.fault);
    Relay relay(row.fault);
    QTcpSocket caller;
    caller.connectToHost(QHostAddress(QHostAddress::LocalHost), relay.port);
    REQUIRE(caller.waitForConnected(patienceMilliseconds));
    caller.write("0123456789");
    caller.flush();
    REQUIRE(relay.upstream.waitForNewConnection(patienceMilliseconds));
    auto* const accepted = relay.upstream.nextPendingConnection();
    CHECK(readAtLeast(*accepted, static_cast<qsizetype>(row.request.size())).toStdString() == row.request);
    accepted->write("abcdefghij");
    accepted->waitForBytesWritten(patienceMilliseconds);
    if (row.isCut)
        CHECK(readToEnd(caller).toStdString() == row.answer);
    else
        CHECK(readAtLeast(caller, static_cast<qsizetype>(row.answer.size())).toStdString() == row.answer);
}

TEST_CASE("a fault proxy relays datagrams, drops them by command and refuses unknown commands")
{
    Relay relay("none");
    QUdpSocket sender;
    sender.writeDatagram("first", QHostAddress(QHostAddress::LocalHost), relay.port);
    REQUIRE(relay.datagrams.waitForReadyRead(patienceMilliseconds));
    char bytes[16] = {};
    CHECK(std::string(bytes, static_cast<std::size_t>(relay.datagrams.readDatagram(bytes, sizeof(bytes)))) == "first");
    REQUIRE(relay.proxy->command("drop-requests", patience) == "ok");
    sender.writeDatagram("second", QHostAddress(QHostAddress::LocalHost), relay.port);
    CHECK_FALSE(relay.datagrams.waitForReadyRead(silenceMilliseconds));
    const auto unknown = relay.proxy->command("explode", patience);
    REQUIRE(unknown);
    CHECK(unknown->starts_with("error"));
}

TEST_CASE("a process under test is paused, resumed, ended and reported")
{
    ProcessUnderTest process(toolPath(CORIANDERGATE_TOOLS, "coriandergate-fault-proxy"), { "--upstream=1" });
    Error reason;
    REQUIRE(process.start(reason));
    REQUIRE(process.waitForLine("listening", patience));
    process.pause();
    process.resume();
    CHECK(process.command("none", patience) == "ok");
    process.terminate();
    CHECK(process.waitForExit(patience) == 128 + 15);
    CHECK_FALSE(process.isRunning());
    ProcessUnderTest missing("/nonexistent/tool");
    CHECK_FALSE(missing.start(reason));
    CHECK(reason.step == "start process");
}
