// Loads of clients that nobody controls, against a daemon whose settings allow it little. Each test checks that the
// daemon lives, stays within the memory and the descriptors that its settings allow, and answers an ordinary request
// while the clients' connections are still open. These tests run alone (RUN_SERIAL).
#include "fixture/DaemonUnderTest.h"
#include "fixture/TargetUnderTest.h"
#include "testing/ConnectionCrowd.h"
#include "testing/CrowdScripts.h"
#include "testing/SimpleCall.h"

#include <catch2/catch.hpp>

using namespace coriandergate;
using namespace coriandergate::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t bufferedBytes = 32 * megabyte; // that the settings allow to requests
constexpr std::size_t programBytes = 64 * megabyte; // of a daemon that serves nobody, and its libraries
constexpr std::size_t memoryBound = programBytes + 2 * bufferedBytes; // a body is copied once on its way
constexpr std::size_t connectionsPerPort = 128;
constexpr std::size_t ports = 3;
constexpr std::size_t otherDescriptors = 128; // files, events and connections to targets
constexpr std::size_t descriptorBound = ports * connectionsPerPort + otherDescriptors;
constexpr std::size_t bodyBytes = 4 * megabyte;
constexpr auto sendTimeout = 30s;
constexpr auto requestTimeout = 10s;
constexpr auto exitTimeout = 60s;

auto arguments() -> std::vector<std::string>
{
    return { "--workers=2", "--declaration=" + std::string(CORIANDERGATE_SOURCE) + "/src/fixture/large.yaml",
        "--maximum-buffered-bytes=" + std::to_string(bufferedBytes),
        "--maximum-connections=" + std::to_string(connectionsPerPort),
        "--maximum-body-bytes=" + std::to_string(bodyBytes), "--header-timeout-ms=60000", "--body-timeout-ms=60000",
        "--drain-delay-ms=200", "--drain-timeout-ms=5000" };
}

auto openEverywhere(const DaemonUnderTest& daemon, const std::string& name, ConnectionCrowd& crowd) -> void
{
    for (const auto& address : { daemon.callers(), daemon.peers(), daemon.admin() }) {
        const bool isForOperators = address == daemon.admin();
        const auto load = crowdLoad({ .target = "/a",
                                        .pipelinedTarget = isForOperators ? "/metrics" : "/status",
                                        .headers = {},
                                        .bodyBytes = bodyBytes },
            name);
        crowd.open(address, load.connections, load.script);
    }
}

auto checkBounds(DaemonUnderTest& daemon) -> void
{
    const auto peakMemory = daemon.process().peakMemoryBytes();
    const auto descriptors = daemon.process().openDescriptors();
    CAPTURE(peakMemory, descriptors);
    REQUIRE(daemon.process().isRunning());
    CHECK(peakMemory > 0);
    CHECK(peakMemory <= memoryBound);
    CHECK(descriptors > 0);
    CHECK(descriptors <= descriptorBound);
}

auto checkRequest(const DaemonUnderTest& daemon, const std::string& method, const std::string& body) -> void
{
    const http::Request request { .method = method, .target = "/a", .headers = {}, .body = body };
    Error reason;
    const auto response = simpleCall(daemon.callers(), request, requestTimeout, reason);
    INFO(reason.toText());
    REQUIRE(response);
    CHECK(response->status == 200);
}

auto playCrowd(const std::string& name) -> void
{
    DaemonUnderTest daemon(arguments());
    TargetUnderTest target(daemon, { "--service=demo" });
    ConnectionCrowd crowd;
    openEverywhere(daemon, name, crowd);
    crowd.send(sendTimeout);
    CAPTURE(crowd.bytesSent());
    checkBounds(daemon);
    checkRequest(daemon, "GET", "");
    checkBounds(daemon);
}

} // namespace

TEST_CASE("the daemon bears a crowd: trailers without end", "[crowd]") { playCrowd("trailers without end"); }

TEST_CASE("the daemon bears a crowd: one trailer without end", "[crowd]") { playCrowd("one trailer without end"); }

TEST_CASE("the daemon bears a crowd: whole bodies that stop short", "[crowd]")
{
    playCrowd("whole bodies that stop short");
}

TEST_CASE("the daemon bears a crowd: bodies in pieces that stop short", "[crowd]")
{
    playCrowd("bodies in pieces that stop short");
}

TEST_CASE("the daemon bears a crowd: bodies in large chunks that stop short", "[crowd]")
{
    playCrowd("bodies in large chunks that stop short");
}

TEST_CASE("the daemon bears a crowd: bodies in tiny chunks that stop short", "[crowd]")
{
    playCrowd("bodies in tiny chunks that stop short");
}

TEST_CASE("the daemon bears a crowd: heads one byte at a time", "[crowd]") { playCrowd("heads one byte at a time"); }

TEST_CASE("the daemon bears a crowd: headers without end", "[crowd]") { playCrowd("headers without end"); }

TEST_CASE("the daemon bears a crowd: chunk extensions without end", "[crowd]")
{
    playCrowd("chunk extensions without end");
}

TEST_CASE("the daemon bears a crowd: bodies one after the other", "[crowd]")
{
    playCrowd("bodies one after the other");
}

TEST_CASE("the daemon bears a crowd: pipelines whose responses nobody reads", "[crowd]")
{
    playCrowd("pipelines whose responses nobody reads");
}

TEST_CASE("the daemon bears a crowd: connections that say nothing", "[crowd]")
{
    playCrowd("connections that say nothing");
}

TEST_CASE("the daemon stops as planned beside a crowd", "[crowd]")
{
    DaemonUnderTest daemon(arguments());
    TargetUnderTest target(daemon, { "--service=demo" });
    ConnectionCrowd crowd;
    openEverywhere(daemon, "whole bodies that stop short", crowd);
    openEverywhere(daemon, "pipelines whose responses nobody reads", crowd);
    openEverywhere(daemon, "connections that say nothing", crowd);
    crowd.send(sendTimeout);
    checkBounds(daemon);
    checkRequest(daemon, "GET", "");
    daemon.process().terminate();
    CHECK(daemon.process().waitForExit(exitTimeout) == 0);
}

TEST_CASE("the largest request that the daemon's settings allow is served in calm", "[crowd]")
{
    DaemonUnderTest daemon(arguments());
    TargetUnderTest target(daemon, { "--service=demo" });
    for (int i = 0; i < 3; ++i)
        checkRequest(daemon, "POST", std::string(bodyBytes, 'x'));
    checkBounds(daemon);
}
