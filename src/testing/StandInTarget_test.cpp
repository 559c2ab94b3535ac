#include "base/Error.h"
#include "testing/ProcessUnderTest.h"
#include "testing/SimpleCall.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace coriandergate;
using namespace coriandergate::testing;

namespace {

constexpr std::chrono::seconds patience { 10 };

struct Target {
    ProcessUnderTest process { toolPath(CORIANDERGATE_TOOLS, "coriandergate-target-stand-in"),
        { "--service=ledger", "--slots=2", "--linger=0" } };
    std::string address;
    Error reason;

    Target()
    {
        REQUIRE(process.start(reason));
        const auto line = process.waitForLine("listening on ", patience);
        REQUIRE(line);
        address = line->substr(line->rfind(' ') + 1);
    }

    auto call(const std::string& method, const std::string& path, const std::string& body = {})
    {
        return simpleCall(address, { .method = method, .target = path, .headers = {}, .body = body }, patience, reason);
    }
};

}

TEST_CASE("a stand-in target answers, keeps what it saw and leaves on SIGTERM")
{
    Target target;
    const auto answer = target.call("POST", "/orders?x=1", "wax cups");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == "wax cups");
    const auto report = target.call("GET", "/_seen");
    REQUIRE(report);
    const auto seen = nlohmann::json::parse(report->body);
    REQUIRE(seen["requests"].size() == 1);
    CHECK(seen["requests"][0]["path"] == "/orders?x=1");
    CHECK(seen["requests"][0]["bodyBytes"] == 8);
    CHECK(seen["highestConcurrency"] == 1);
    target.process.terminate();
    CHECK(target.process.waitForExit(patience) == 0);
}

TEST_CASE("a stand-in target misbehaves on command")
{
    Target target;
    CHECK(target.call("POST", "/_mode", R"({"failRate": 1})")->status == 200);
    CHECK(target.call("GET", "/a")->status == 500);
    CHECK(target.call("POST", "/_mode", R"({"failRate": 0, "halfAnswer": true})")->status == 200);
    CHECK_FALSE(target.call("POST", "/a", "0123456789"));
    CHECK(target.call("POST", "/_mode", R"({"speed": 1})")->status == 400);
    CHECK(target.call("POST", "/_mode", R"({"hang": 1})")->status == 400);
    CHECK(target.call("POST", "/_mode", R"({"halfAnswer": false, "crashPath": "/poison"})")->status == 200);
    CHECK_FALSE(target.call("GET", "/poison"));
    CHECK(target.process.waitForExit(patience) == 70);
}
