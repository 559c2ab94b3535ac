// Daemons that know each other, with real processes on loopback.
#include "base/Clock.h"
#include "base/Error.h"
#include "fixture/DaemonFleet.h"
#include "fixture/TargetUnderTest.h"
#include "testing/LoopbackPort.h"
#include "testing/SimpleCall.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <thread>

using namespace coriandergate;
using namespace coriandergate::testing;

namespace {

constexpr std::chrono::seconds patience { 30 };
constexpr std::chrono::milliseconds pollInterval { 50 };

auto eventually(const std::function<bool()>& isTrue) -> bool
{
    const auto deadline = monotonicNow() + patience;
    while (!isTrue()) {
        if (monotonicNow() > deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

auto statusOfCall(const DaemonUnderTest& daemon) -> int
{
    Error reason;
    http::Request request { .method = "GET", .target = "/a", .headers = {}, .body = {} };
    request.headers.add("X-Api-Key", "demo-key");
    const auto answer = simpleCall(daemon.callers(), std::move(request), patience, reason);
    return answer ? answer->status : 0;
}

auto metric(const DaemonUnderTest& daemon, const std::string& name) -> double
{
    Error reason;
    const auto answer = simpleCall(
        daemon.admin(), { .method = "GET", .target = "/metrics", .headers = {}, .body = {} }, patience, reason);
    const auto at = answer ? answer->body.find("\n" + name + " ") : std::string::npos;
    return at == std::string::npos ? -1 : std::stod(answer->body.substr(at + name.size() + 2));
}

auto believes(const DaemonUnderTest& daemon, const std::string& state, double count) -> bool
{
    return metric(daemon, R"(coriandergate_members{state=")" + state + R"("})") == count;
}

} // namespace

TEST_CASE("a target announced at one daemon serves callers of another until it leaves")
{
    DaemonUnderTest owner;
    DaemonUnderTest entry({ "--peers=" + owner.peers() });
    TargetUnderTest target(owner, { "--service=demo" });
    REQUIRE(eventually([&] { return metric(entry, "coriandergate_remote_targets") == 1; }));
    CHECK(eventually([&] { return statusOfCall(entry) == 200; }));
    CHECK(target.seen()["requests"].size() == 1);
    target.setMode(R"({"drain": true})");
    REQUIRE(eventually([&] { return metric(entry, "coriandergate_remote_targets") == 0; }));
    // A leaving target still takes for a moment what has nowhere else to go, and then nothing more.
    REQUIRE(eventually([&] { return statusOfCall(owner) == 503; }));
    const auto before = target.seen()["requests"].size();
    CHECK(statusOfCall(entry) == 503);
    CHECK(statusOfCall(owner) == 503);
    CHECK(target.seen()["requests"].size() == before);
}

TEST_CASE("a killed daemon is noticed, and a leaving one is said to leave")
{
    const DaemonFleet fleet({ .dataCentres = 1 });
    auto& first = fleet.daemon(0);
    auto& killed = fleet.daemon(1);
    auto& leaving = fleet.daemon(2);
    REQUIRE(eventually([&] { return believes(first, "alive", 2) && believes(leaving, "alive", 2); }));
    killed.process().kill();
    CHECK(eventually([&] { return believes(first, "dead", 1) && believes(leaving, "dead", 1); }));
    leaving.process().terminate();
    CHECK(eventually([&] { return believes(first, "leaving", 1); }));
    CHECK(first.process().waitForLine("CG1304", patience));
    CHECK(first.process().waitForLine("CG1303", patience));
}

TEST_CASE("a stopped daemon is alive again to the others after it goes on, and takes none of them for dead")
{
    DaemonUnderTest first({ "--suspicion-timeout-ms=1000" });
    DaemonUnderTest paused({ "--suspicion-timeout-ms=1000", "--peers=" + first.peers() });
    REQUIRE(eventually([&] { return believes(first, "alive", 1) && believes(paused, "alive", 1); }));
    paused.process().pause();
    REQUIRE(eventually([&] { return believes(first, "dead", 1); }));
    paused.process().resume();
    CHECK(eventually([&] { return believes(first, "alive", 1) && believes(paused, "alive", 1); }));
    CHECK(metric(paused, R"(coriandergate_member_events_total{event="death"})") == 0);
}

TEST_CASE("a one-way cut between two daemons doesn't split their views for ever")
{
    const auto proxyTool = toolPath(CORIANDERGATE_TOOLS, "coriandergate-fault-proxy");
    const auto fault = GENERATE(as<std::string> {}, "drop-requests", "stall");
    CAPTURE(fault);
    DaemonUnderTest open({ "--suspicion-timeout-ms=1000" });
    // The second daemon is reached through the proxy only, so a fault there cuts what comes to it, not what it sends.
    const auto behindPort = std::to_string(freeLoopbackPort());
    const auto proxyPort = std::to_string(freeLoopbackPort());
    ProcessUnderTest proxy(proxyTool, { "--upstream=" + behindPort, "--listen=" + proxyPort });
    Error reason;
    REQUIRE(proxy.start(reason));
    REQUIRE(proxy.waitForLine("listening on", patience));
    DaemonUnderTest behind(
        { "--suspicion-timeout-ms=1000", "--peers=" + open.peers(), "--peer-address=127.0.0.1:" + proxyPort },
        "127.0.0.1:" + behindPort);
    TargetUnderTest target(behind, { "--service=demo" });
    REQUIRE(eventually([&] { return metric(open, "coriandergate_remote_targets") == 1; }));
    CHECK(eventually([&] { return statusOfCall(open) == 200; }));
    REQUIRE(proxy.command(fault, patience) == "ok");
    CHECK(eventually([&] { return believes(open, "dead", 1); }));
    REQUIRE(proxy.command("none", patience) == "ok");
    CHECK(eventually([&] { return believes(open, "alive", 1) && believes(behind, "alive", 1); }));
    CHECK(eventually([&] { return statusOfCall(open) == 200; }));
}
