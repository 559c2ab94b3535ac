// Operators, the store's outages and the spread of configurations, with real processes.
#include "config/KeyDigest.h"
#include "fixture/DaemonUnderTest.h"
#include "fixture/TargetUnderTest.h"
#include "testing/Application.h"
#include "testing/LoopbackPort.h"
#include "testing/SimpleCall.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <QTemporaryDir>
#include <fstream>
#include <functional>
#include <thread>

using namespace coriandergate;
using namespace coriandergate::testing;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds patience { 15 };

const std::string declaration = R"(services: [{ name: demo }]
clientAccounts: [{ name: member, ratePerSecond: 1000, burst: 1000 }, { name: other, ratePerSecond: 5, burst: 5 }]
routes:
  - { name: all, pathPrefix: /, service: demo, repeatPolicy: idempotent }
  - { name: open, pathPrefix: /open, service: demo, isOpen: true, repeatPolicy: idempotent }
)";

// The stand-in of the store, a process of its own.
class StoreUnderTest {
public:
    StoreUnderTest()
        : m_address("127.0.0.1:" + std::to_string(freeLoopbackPort()))
    {
        restart();
    }

    auto restart() -> void
    {
        m_process = std::make_unique<ProcessUnderTest>(toolPath(CORIANDERGATE_TOOLS, "coriandergate-store-stand-in"),
            std::vector<std::string> { "--listen=" + m_address.substr(m_address.rfind(':') + 1) });
        Error reason;
        REQUIRE(m_process->start(reason));
        REQUIRE(m_process->waitForLine("listening on", patience));
    }

    auto setFaults(const std::string& faults) -> void { (void)call("POST", "/_faults", faults); }
    auto counts() -> json { return json::parse(call("GET", "/_counts", {}).body); }
    auto kill() -> void { m_process.reset(); }
    [[nodiscard]] auto address() const -> const std::string& { return m_address; }

private:
    auto call(const std::string& method, const std::string& path, const std::string& body) -> http::Answer
    {
        Error reason;
        auto answer = simpleCall(
            m_address, { .method = method, .target = path, .headers = {}, .body = body }, patience, reason);
        REQUIRE(answer);
        return *std::move(answer);
    }

    std::string m_address;
    std::unique_ptr<ProcessUnderTest> m_process;
};

auto daemonArguments(const StoreUnderTest& store, const std::vector<std::string>& peers) -> std::vector<std::string>
{
    std::string list;
    for (const auto& peer : peers)
        list += (list.empty() ? "" : ",") + peer;
    return { "--store=" + store.address(), "--peers=" + list, "--store-timeout-ms=500",
        "--operators=ann:" + config::digestOfKey("ann-token") + ",bob:" + config::digestOfKey("bob-token") };
}

auto callApi(const DaemonUnderTest& daemon, const std::string& method, const std::string& path, const std::string& body,
    const std::string& token = "ann-token") -> std::pair<int, json>
{
    http::Request request { .method = method, .target = path, .headers = {}, .body = body };
    request.headers.add("Authorization", "Bearer " + token);
    Error reason;
    const auto answer = simpleCall(daemon.admin(), request, patience, reason);
    INFO(reason.toText());
    REQUIRE(answer);
    return { answer->status, json::parse(answer->body, nullptr, false) };
}

auto planOf(const DaemonUnderTest& daemon, const std::string& path, const std::string& body) -> std::string
{
    const auto [status, value] = callApi(daemon, "POST", path, body);
    INFO(value.dump());
    REQUIRE(status == 201);
    return value["id"].get<std::string>();
}

auto confirm(const DaemonUnderTest& daemon, const std::string& plan, const std::string& token = "ann-token")
    -> std::pair<int, json>
{
    return callApi(daemon, "POST", "/v1/plans/" + plan + "/confirm", {}, token);
}

auto change(const DaemonUnderTest& daemon, const std::string& path, const std::string& body) -> void
{
    const auto [status, value] = confirm(daemon, planOf(daemon, path, body));
    INFO(value.dump());
    REQUIRE(status == 200);
}

auto issueKey(const DaemonUnderTest& daemon, const std::string& key) -> void
{
    change(daemon, "/v1/keys/issue",
        json { { "clientAccount", "member" }, { "keyDigest", config::digestOfKey(key) } }.dump());
}

auto withdrawKey(const DaemonUnderTest& daemon, const std::string& key) -> void
{
    change(daemon, "/v1/keys/withdraw", json { { "keyDigest", config::digestOfKey(key) } }.dump());
}

auto statusWithKey(const DaemonUnderTest& daemon, const std::string& key, const std::string& path = "/a") -> int
{
    http::Request request { .method = "GET", .target = path, .headers = {}, .body = {} };
    if (!key.empty())
        request.headers.add("X-Api-Key", key);
    Error reason;
    const auto answer = simpleCall(daemon.callers(), request, patience, reason);
    return answer ? answer->status : 0;
}

// A status of 503 tells that there is no target, which comes after the key was found good.
auto isKeyGood(const DaemonUnderTest& daemon, const std::string& key) -> bool
{
    http::Request request { .method = "GET", .target = "/a", .headers = {}, .body = {} };
    request.headers.add("X-Api-Key", key);
    Error reason;
    const auto answer = simpleCall(daemon.callers(), request, patience, reason);
    return answer && answer->status == 503 && answer->body.find("choose target") != std::string::npos;
}

auto versionOf(const DaemonUnderTest& daemon) -> int
{
    Error reason;
    const auto answer = simpleCall(daemon.peers(),
        { .method = "GET", .target = "/configuration/head", .headers = {}, .body = {} }, patience, reason);
    return answer ? std::stoi(answer->body) : -1;
}

auto eventually(const std::function<bool()>& condition) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(50ms);
    }
    return true;
}

} // namespace

TEST_CASE("a confirmed change reaches a daemon that did not take part, and a key withdrawn there stops")
{
    ensureApplication();
    StoreUnderTest store;
    DaemonUnderTest first(daemonArguments(store, {}));
    DaemonUnderTest second(daemonArguments(store, { first.peers() }));
    CHECK(callApi(first, "GET", "/v1/status", {}, "wrong").first == 401);
    change(first, "/v1/plans?purpose=start", declaration);
    issueKey(first, "key-1");
    REQUIRE(eventually([&] { return versionOf(second) == 2; }));
    CHECK(isKeyGood(second, "key-1"));
    CHECK(statusWithKey(second, "key-2") == 401);
    withdrawKey(first, "key-1");
    REQUIRE(eventually([&] { return statusWithKey(second, "key-1") == 401; }));
    // The daemons know of each other once membership has told them.
    json status;
    CHECK(eventually([&] {
        status = callApi(second, "GET", "/v1/status", {}).second;
        return status["inForce"] == 2;
    }));
    CHECK(status["daemons"] == 2);
    const auto audit = callApi(second, "GET", "/v1/audit", {}).second["records"];
    REQUIRE(audit.size() == 3);
    CHECK(audit[0]["purpose"] == "start");
    CHECK(audit[2]["operator"] == "ann");
}

TEST_CASE("of two operators at two daemons one wins, and the other learns what changed")
{
    ensureApplication();
    StoreUnderTest store;
    DaemonUnderTest first(daemonArguments(store, {}));
    DaemonUnderTest second(daemonArguments(store, { first.peers() }));
    const auto ann = planOf(first, "/v1/plans", declaration);
    const auto bob = planOf(second, "/v1/plans", declaration + "  - { name: b, pathPrefix: /b, service: demo }\n");
    CHECK(confirm(second, bob, "bob-token").first == 200);
    const auto [status, value] = confirm(first, ann);
    CHECK(status == 409);
    CHECK(value["changes"][0]["operator"] == "bob");
    const auto again = confirm(first, bob);
    CHECK(again.first == 200);
    CHECK(again.second["wasAlready"] == true);
    CHECK(callApi(first, "GET", "/v1/history", {}).second["records"].size() == 1);
}

TEST_CASE("a confirmation is not accepted with the store away, and resolved when its answer is lost")
{
    ensureApplication();
    StoreUnderTest store;
    DaemonUnderTest daemon(daemonArguments(store, {}));
    const auto plan = planOf(daemon, "/v1/plans", declaration);
    store.setFaults(R"({"isDown": true})");
    auto [status, value] = confirm(daemon, plan);
    CHECK(status == 503);
    CHECK(value["result"] == "notAccepted");
    CHECK(callApi(daemon, "POST", "/v1/plans", declaration).first == 503);
    store.setFaults(R"({"loseCommitAnswers": 1})");
    std::tie(status, value) = confirm(daemon, plan);
    CHECK(status == 200);
    CHECK(value["head"]["version"] == 1);
    const auto next = planOf(daemon, "/v1/keys/issue",
        json { { "clientAccount", "member" }, { "keyDigest", config::digestOfKey("k") } }.dump());
    store.setFaults(R"({"dropCommits": 1})");
    std::tie(status, value) = confirm(daemon, next);
    CHECK(status == 200);
    CHECK(callApi(daemon, "GET", "/v1/history", {}).second["records"].size() == 2);
}

TEST_CASE("a daemon that starts with the store away takes the newest from its peers, and no older one later")
{
    ensureApplication();
    StoreUnderTest store;
    DaemonUnderTest first(daemonArguments(store, {}));
    change(first, "/v1/plans", declaration);
    issueKey(first, "key-1");
    REQUIRE(eventually([&] { return versionOf(first) == 2; }));
    store.kill();
    DaemonUnderTest second(daemonArguments(store, { first.peers() }));
    REQUIRE(eventually([&] { return versionOf(second) == 2; }));
    // The seat map, which a request with a key needs as well, comes from the peers too.
    REQUIRE(eventually([&] { return isKeyGood(second, "key-1"); }));
    // The store comes back without its content: nobody goes back to no configuration.
    store.restart();
    REQUIRE(eventually([&] { return store.counts()["reads"] > 2; }));
    CHECK(versionOf(first) == 2);
    CHECK(versionOf(second) == 2);
    CHECK(callApi(first, "POST", "/v1/plans", declaration).first == 201);
}

TEST_CASE("a daemon paused while a key was withdrawn never lets that key through when it wakes")
{
    ensureApplication();
    StoreUnderTest store;
    DaemonUnderTest first(daemonArguments(store, {}));
    auto arguments = daemonArguments(store, { first.peers() });
    arguments.emplace_back("--key-contact-limit-ms=1000");
    DaemonUnderTest second(arguments);
    TargetUnderTest target(second, { "--service=demo" });
    change(first, "/v1/plans", declaration);
    issueKey(first, "key-1");
    REQUIRE(eventually([&] { return statusWithKey(second, "key-1") == 200; }));
    second.process().pause();
    withdrawKey(first, "key-1");
    std::this_thread::sleep_for(1500ms); // beyond the limit for contact
    second.process().resume();
    for (int i = 0; i < 40; ++i) {
        const auto status = statusWithKey(second, "key-1");
        CHECK((status == 401 || status == 503));
        std::this_thread::sleep_for(25ms);
    }
    REQUIRE(eventually([&] { return statusWithKey(second, "key-1") == 401; }));
    CHECK(statusWithKey(second, "", "/open") == 200);
}

TEST_CASE("a daemon that hears neither store nor peers refuses keys, says that it did not run them, and recovers")
{
    ensureApplication();
    StoreUnderTest store;
    auto arguments = daemonArguments(store, {});
    arguments.emplace_back("--key-contact-limit-ms=1000");
    DaemonUnderTest daemon(arguments);
    TargetUnderTest target(daemon, { "--service=demo" });
    change(daemon, "/v1/plans", declaration);
    issueKey(daemon, "key-1");
    REQUIRE(eventually([&] { return statusWithKey(daemon, "key-1") == 200; }));
    store.setFaults(R"({"isDown": true})");
    REQUIRE(eventually([&] { return statusWithKey(daemon, "key-1") == 503; }));
    CHECK(statusWithKey(daemon, "", "/open") == 200);
    store.setFaults("{}");
    CHECK(eventually([&] { return statusWithKey(daemon, "key-1") == 200; }));
}

TEST_CASE("the command line does what the API does, with its exit codes")
{
    ensureApplication();
    StoreUnderTest store;
    DaemonUnderTest daemon(daemonArguments(store, {}));
    const QTemporaryDir folder;
    const auto file = folder.path().toStdString() + "/mesh.yaml";
    std::ofstream(file) << declaration;
    std::ofstream(file + ".bad") << "services: [{ name: X }]\n";
    std::string output;
    const auto run = [&](std::vector<std::string> arguments) {
        arguments.push_back("--daemon=" + daemon.admin());
        ProcessUnderTest process(toolPath(CORIANDERGATE_TOOLS, "coriandergatectl"), std::move(arguments),
            { { "CORIANDERGATE_TOKEN", "ann-token" } });
        Error reason;
        REQUIRE(process.start(reason));
        const auto code = process.waitForExit(patience);
        output = process.output();
        return code.value_or(-1);
    };
    CHECK(run({ "validate", file }) == 0);
    CHECK(run({ "validate", file + ".bad" }) == 3);
    CHECK(output.find(".bad:1:20: services[0].name: 'X' is not valid") != std::string::npos);
    CHECK(run({ "diff", file }) == 7);
    CHECK(run({ "plan", file, "--output=json" }) == 0);
    const auto plan = json::parse(output)["id"].get<std::string>();
    CHECK(run({ "confirm", plan }) == 0);
    CHECK(output == "accepted: version 1\n");
    CHECK(run({ "plan", file }) == 3);
    CHECK(output.find("nothing changes against version 1") != std::string::npos);
    CHECK(run({ "keys", "issue", "member", "--confirm", "--output=text" }) == 0);
    const auto at = output.find("digest: ") + 8;
    const auto digest = output.substr(at, 64);
    CHECK(run({ "keys", "withdraw", digest.substr(0, 12), "--confirm", "--purpose=lost key" }) == 0);
    CHECK(run({ "audit" }) == 0);
    CHECK(output.find("2 -> 3") != std::string::npos);
    CHECK(output.find("accepted lost key") != std::string::npos);
    CHECK(eventually([&] { return run({ "status" }) == 0 && output.find("version 3 is in force at 1 of 1") == 0; }));
    CHECK(run({ "export" }) == 0);
    std::ofstream(file) << output;
    CHECK(run({ "diff", file }) == 0);
    CHECK(run({ "history", "--after=2", "--output=json" }) == 0);
    CHECK(json::parse(output)["records"].size() == 1);
    store.setFaults(R"({"isDown": true})");
    CHECK(run({ "confirm", plan }) == 5);
    CHECK(output.find("not accepted, nothing was changed: read row (" + store.address()) == 0);
    CHECK(run({ "confirm" }) == 2);
}
