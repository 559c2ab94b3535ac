// The whole path with real processes: caller, daemon, target.
#include "fixture/DaemonUnderTest.h"
#include "fixture/TargetUnderTest.h"
#include "testing/SimpleCall.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace coriandergate;
using namespace coriandergate::testing;

namespace {

constexpr std::chrono::seconds patience { 10 };

auto callDaemon(const DaemonUnderTest& daemon, http::Request request) -> http::Answer
{
    Error reason;
    auto answer = simpleCall(daemon.callers(), std::move(request), patience, reason);
    INFO(reason.toText());
    REQUIRE(answer);
    return std::move(*answer);
}

auto makeRequest(const std::string& method, const std::string& target, const std::string& body,
    std::initializer_list<std::pair<std::string, std::string>> headers) -> http::Request
{
    http::Request request { .method = method, .target = target, .headers = {}, .body = body };
    for (const auto& [name, value] : headers)
        request.headers.add(name, value);
    return request;
}

} // namespace

TEST_CASE("a request goes through the daemon to its target and back, and its key stays behind")
{
    DaemonUnderTest daemon;
    TargetUnderTest target(daemon, { "--service=demo" });
    struct Case {
        std::string target;
        std::vector<std::pair<std::string, std::string>> headers;
    };
    const Case cases[] = { { "/a?x=1", { { "X-Api-Key", "demo-key" } } },
        { "/a?x=1", { { "Authorization", "Bearer demo-key" } } }, { "/a?x=1&api_key=demo-key", {} },
        { "/a?api_key=demo%2Dkey&x=1&again=demo-key", { { "X-Note", "my demo-key" }, { "Cookie", "k=demo%2Dkey" } } } };
    for (const auto& [path, headers] : cases) {
        http::Request request { .method = "POST", .target = path, .headers = {}, .body = "cups" };
        for (const auto& [name, value] : headers)
            request.headers.add(name, value);
        const auto answer = callDaemon(daemon, request);
        CHECK(answer.status == 200);
        CHECK(answer.body == "cups");
        CHECK(answer.headers.find("Coriandergate-Outcome") == "ran");
    }
    const auto seen = target.seen();
    REQUIRE(seen["requests"].size() == std::size(cases));
    for (const auto& request : seen["requests"]) {
        CHECK(request["path"] == "/a?x=1");
        CHECK(request.dump().find("demo-key") == std::string::npos);
        CHECK(request.dump().find("demo%2Dkey") == std::string::npos);
    }
}

TEST_CASE("a refusal says truly that the request was not run")
{
    DaemonUnderTest daemon;
    TargetUnderTest target(daemon, { "--service=demo" });
    struct Case {
        http::Request request;
        int status;
    };
    const Case cases[] = { { makeRequest("GET", "/a", "", {}), 401 },
        { makeRequest("GET", "/a", "", { { "X-Api-Key", "wrong" } }), 401 },
        { makeRequest("GET", "/a?api_key=demo-key", "", { { "X-Api-Key", "other" } }), 400 },
        { makeRequest("GET", "/a/../b", "", { { "X-Api-Key", "demo-key" } }), 404 },
        { makeRequest("POST", "/a", std::string((1 << 20) + 1, 'x'), { { "X-Api-Key", "demo-key" } }), 413 },
        { makeRequest("GET", "/a", "", { { "X-Api-Key", "demo-key" }, { "X-Deadline-Ms", "0" } }), 400 },
        { makeRequest("GET", "/a", "", { { "X-Api-Key", "demo-key" }, { "X-Deadline-Ms", "1" } }), 504 } };
    for (const auto& [request, status] : cases) {
        const auto answer = callDaemon(daemon, request);
        INFO(answer.body);
        CHECK(answer.status == status);
        CHECK(answer.headers.find("Coriandergate-Outcome") == "not-run");
        const auto problem = nlohmann::json::parse(answer.body);
        CHECK(problem["outcome"] == "not-run");
        CHECK_FALSE(problem["step"].get<std::string>().empty());
    }
    CHECK(target.seen()["requests"].empty());
}

TEST_CASE("without a target a request is refused as not run, with a time to retry")
{
    DaemonUnderTest daemon;
    const auto answer = callDaemon(daemon, makeRequest("GET", "/a", "", { { "X-Api-Key", "demo-key" } }));
    CHECK(answer.status == 503);
    CHECK(answer.headers.find("Coriandergate-Outcome") == "not-run");
    CHECK(answer.headers.find("Retry-After") == "1");
}

TEST_CASE("half an answer is never passed on, and the caller is told that the request may have run")
{
    DaemonUnderTest daemon;
    TargetUnderTest target(daemon, { "--service=demo" });
    target.setMode(R"({"halfAnswer": true})");
    const auto answer = callDaemon(daemon, makeRequest("POST", "/orders", "cups", { { "X-Api-Key", "demo-key" } }));
    CHECK(answer.status == 502);
    CHECK(answer.headers.find("Coriandergate-Outcome") == "may-have-run");
    CHECK(target.seen()["requests"].size() == 1);
}

TEST_CASE("a planned stop ends requests that are under way")
{
    DaemonUnderTest daemon({ "--drain-delay-ms=100" });
    TargetUnderTest target(daemon, { "--service=demo", "--service-time=500" });
    daemon.process().terminate(); // the daemon still serves for the drain delay
    const auto answer = callDaemon(daemon, makeRequest("GET", "/a", "", { { "X-Api-Key", "demo-key" } }));
    CHECK(answer.status == 200);
    CHECK(answer.headers.find("Connection") == "close");
    CHECK(daemon.process().waitForExit(patience) == 0);
}
