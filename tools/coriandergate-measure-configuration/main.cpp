// Measures with real processes how fast a change is in force everywhere, what that costs the store and the daemons, and
// how long a daemon takes from its start with a configuration of full size to its first served request.
#include "base/Clock.h"
#include "base/Error.h"
#include "config/Configuration.h"
#include "config/Declaration.h"
#include "config/KeyDigest.h"
#include "testing/LoopbackPort.h"
#include "testing/ProcessUnderTest.h"
#include "testing/SimpleCall.h"

#include <docopt.h>
#include <nlohmann/json.hpp>

#include <QCoreApplication>
#include <QDateTime>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <set>
#include <thread>

namespace {

using namespace coriandergate;
using namespace std::chrono_literals;
using nlohmann::json;

constexpr auto usage = R"(Measures the spread of configurations with real processes on loopback.

Usage:
  coriandergate-measure-configuration [options]
  coriandergate-measure-configuration --help

Options:
  --daemons=COUNT   Daemons of one data centre [default: 10].
  --changes=COUNT   Changes to make, one after the other [default: 20].
  --settle=SECONDS  Time for the daemons to learn of each other [default: 10].
  --idle=SECONDS    Time over which the idle cost is counted [default: 20].
  --routes=COUNT    Routes of the configuration [default: 1].
  --accounts=COUNT  Client accounts of the configuration [default: 1].
  --alone           The naive way: no daemon knows another, each asks the store.
  --cold-start      Also measure a daemon's way from its start to a served request.
)";

constexpr std::chrono::seconds patience { 60 };
const std::string token = "measure-token";

auto freeAddress() -> std::string { return "127.0.0.1:" + std::to_string(testing::freeLoopbackPort()); }

auto fail(const std::string& what) -> void
{
    std::cerr << what << std::endl;
    std::exit(1);
}

auto call(const std::string& peer, const std::string& method, const std::string& path, const std::string& body = {},
    const std::string& key = {}) -> http::Answer
{
    http::Request request { .method = method, .target = path, .headers = {}, .body = body };
    request.headers.add("Authorization", "Bearer " + token);
    if (!key.empty())
        request.headers.replace("Authorization", "Bearer " + key);
    Error reason;
    auto answer = testing::simpleCall(peer, request, patience, reason);
    if (!answer)
        fail(reason.toText());
    return *std::move(answer);
}

// One daemon as a process.
struct Daemon {
    std::string callers = freeAddress();
    std::string peers = freeAddress();
    std::string admin = freeAddress();
    std::unique_ptr<testing::ProcessUnderTest> process;

    auto start(const std::string& tools, const std::string& store, const std::string& peerList) -> void
    {
        process = std::make_unique<testing::ProcessUnderTest>(testing::toolPath(tools, "coriandergated"),
            std::vector<std::string> { "--listen=" + callers, "--peer-listen=" + peers, "--admin-listen=" + admin,
                "--workers=1", "--store=" + store, "--peers=" + peerList,
                "--operators=measure:" + config::digestOfKey(token) });
        Error reason;
        if (!process->start(reason) || !process->waitForLine("CG1001", patience))
            fail("a daemon did not start: " + process->output());
    }
};

auto makeDeclaration(int routes, int accounts) -> std::string
{
    config::Configuration configuration;
    configuration.services.push_back({ "demo", 0.7, {}, {} });
    const auto number = [](int i) { return std::to_string(100000 + i); };
    for (int i = 0; i < accounts; ++i)
        configuration.clientAccounts.push_back({ .name = "account-" + number(i),
            .keyDigests = { config::digestOfKey("key-" + number(i)) },
            .ratePerSecond = 10,
            .burst = 20 });
    for (int i = 0; i < routes; ++i) {
        config::Route route;
        route.name = "route-" + number(i);
        route.pathPrefix = "/" + number(i);
        route.service = "demo";
        configuration.routes.push_back(route);
    }
    return config::writeDeclaration(configuration);
}

// change() plans and confirms; it returns when the confirmation was sent.
auto change(const Daemon& daemon, const std::string& path, const std::string& body) -> WallTime
{
    const auto planned = call(daemon.admin, "POST", path, body);
    if (planned.status != 201)
        fail(planned.body);
    const auto id = json::parse(planned.body)["id"].get<std::string>();
    const auto sentAt = wallNow();
    const auto confirmed = call(daemon.admin, "POST", "/v1/plans/" + id + "/confirm");
    if (confirmed.status != 200)
        fail(confirmed.body);
    return sentAt;
}

// takenAt() is when the daemon logged that it has `version` in force.
auto takenAt(Daemon& daemon, int version) -> WallTime
{
    const auto line = daemon.process->waitForLine("head=" + std::to_string(version) + "-", patience);
    if (!line)
        fail("a daemon did not take the version");
    const auto text = QString::fromStdString(line->substr(0, line->find(' ')));
    return WallTime(std::chrono::milliseconds(QDateTime::fromString(text, Qt::ISODateWithMs).toMSecsSinceEpoch()));
}

auto countsOf(const std::string& store) -> json { return json::parse(call(store, "GET", "/_counts").body); }

// exchangedBytes() is what the daemon has sent to and received from its peers for configurations.
auto exchangedBytes(const Daemon& daemon) -> double
{
    const auto page = call(daemon.admin, "GET", "/metrics").body;
    double sum = 0;
    for (const std::string name :
        { "\ncoriandergate_configuration_sent_bytes_total ", "\ncoriandergate_configuration_received_bytes_total " })
        sum += std::stod(page.substr(page.find(name) + name.size()));
    return sum;
}

auto summary(std::vector<double> values) -> json
{
    std::sort(values.begin(), values.end());
    return { { "median", values[values.size() / 2] }, { "worst", values.back() } };
}

auto idleFor(std::chrono::milliseconds duration) -> void { std::this_thread::sleep_for(duration); }

auto measureColdStart(const std::string& tools, const std::string& store, const std::string& peerList) -> json
{
    Daemon daemon;
    const auto begin = monotonicNow();
    daemon.start(tools, store, peerList);
    // Status 503 for want of a target comes after route and key were found.
    while (call(daemon.callers, "GET", "/100000", {}, "key-100000").body.find("choose target") == std::string::npos)
        std::this_thread::sleep_for(10ms);
    const std::chrono::duration<double, std::milli> taken = monotonicNow() - begin;
    return taken.count();
}

}

auto main(int argumentCount, char** arguments) -> int
{
    QCoreApplication application(argumentCount, arguments);
    auto parsed = docopt::docopt(usage, { arguments + 1, arguments + argumentCount }, true, "");
    const auto number = [&parsed](const char* name) { return static_cast<int>(parsed[name].asLong()); };
    const auto tools = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();

    testing::ProcessUnderTest storeProcess(testing::toolPath(tools, "coriandergate-store-stand-in"));
    Error reason;
    if (!storeProcess.start(reason))
        fail(reason.toText());
    const auto line = storeProcess.waitForLine("listening on", patience);
    const auto store = line->substr(line->rfind(' ') + 1);

    std::vector<Daemon> daemons(static_cast<std::size_t>(number("--daemons")));
    const auto isAlone = parsed["--alone"].asBool();
    for (auto& daemon : daemons)
        daemon.start(tools, store, isAlone || &daemon == &daemons.front() ? std::string() : daemons.front().peers);
    const auto wireBytes = [&daemons] {
        double sum = 0;
        for (const auto& daemon : daemons)
            sum += exchangedBytes(daemon);
        return sum / static_cast<double>(daemons.size());
    };
    idleFor(std::chrono::seconds(number("--settle")));

    change(daemons[0], "/v1/plans", makeDeclaration(number("--routes"), number("--accounts")));
    for (auto& daemon : daemons)
        (void)takenAt(daemon, 1);

    json result { { "daemons", daemons.size() }, { "alone", isAlone }, { "routes", number("--routes") },
        { "accounts", number("--accounts") } };
    auto before = countsOf(store);
    auto bytesBefore = wireBytes();
    idleFor(std::chrono::seconds(number("--idle")));
    auto after = countsOf(store);
    const auto seconds = static_cast<double>(number("--idle"));
    result["idle"]
        = { { "storeReadsPerSecond", (after["reads"].get<double>() - before["reads"].get<double>()) / seconds },
              { "bytesPerSecondADaemon", (wireBytes() - bytesBefore) / seconds } };

    std::vector<double> everywhere;
    std::vector<double> each;
    before = countsOf(store);
    bytesBefore = wireBytes();
    const auto changesBegin = monotonicNow();
    for (int i = 0; i < number("--changes"); ++i) {
        const json body { { "clientAccount", "account-100000" },
            { "keyDigest", config::digestOfKey(std::to_string(i)) } };
        const auto sentAt = change(daemons[0], "/v1/keys/issue", body.dump());
        double last = 0;
        for (auto& daemon : daemons) {
            const std::chrono::duration<double, std::milli> taken = takenAt(daemon, i + 2) - sentAt;
            each.push_back(taken.count());
            last = std::max(last, taken.count());
        }
        everywhere.push_back(last);
        idleFor(50ms);
    }
    after = countsOf(store);
    const std::chrono::duration<double> changing = monotonicNow() - changesBegin;
    const auto idleReads = result["idle"]["storeReadsPerSecond"].get<double>() * changing.count();
    const auto idleBytes = result["idle"]["bytesPerSecondADaemon"].get<double>() * changing.count();
    result["inForceMs"] = { { "everywhere", summary(everywhere) }, { "oneDaemon", summary(each) } };
    result["perChange"]
        = { { "storeReads",
                (after["reads"].get<double>() - before["reads"].get<double>() - idleReads) / number("--changes") },
              { "storeWrites", (after["writes"].get<double>() - before["writes"].get<double>()) / number("--changes") },
              { "bytesADaemon", (wireBytes() - bytesBefore - idleBytes) / number("--changes") } };

    if (parsed["--cold-start"].asBool()) {
        result["coldStartMs"] = { { "fromPeers", measureColdStart(tools, store, daemons.front().peers) },
            { "fromStore", measureColdStart(tools, store, "") } };
    }
    std::cout << result.dump(2) << std::endl;
    return 0;
}
