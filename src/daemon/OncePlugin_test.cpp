// At most once with real processes.
#include "fixture/DaemonUnderTest.h"
#include "fixture/TargetUnderTest.h"
#include "testing/SimpleCall.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace coriandergate;
using namespace coriandergate::testing;
using namespace std::chrono_literals;

namespace {

auto order(const std::string& callers, const std::string& key, const std::string& body,
    std::chrono::milliseconds patience = 5s) -> std::optional<http::Answer>
{
    http::Request request { .method = "POST", .target = "/orders/1", .headers = {}, .body = body };
    request.headers.add("X-Api-Key", "demo-key");
    request.headers.add("Idempotency-Key", key);
    Error reason;
    return simpleCall(callers, std::move(request), patience, reason);
}

} // namespace

TEST_CASE("a once-only request sent again with its key is answered again and runs no second time")
{
    DaemonUnderTest daemon;
    TargetUnderTest target(daemon, { "--service=demo", "--service-time=300" });
    CHECK_FALSE(order(daemon.callers(), "k1", "cups", 100ms)); // the caller gives up; the run goes on
    const auto during = order(daemon.callers(), "k1", "cups");
    REQUIRE(during);
    CHECK(during->status == 409);
    CHECK(during->headers.find("Coriandergate-Outcome") == "may-have-run");
    const auto other = order(daemon.callers(), "k2", "wicks");
    REQUIRE(other);
    CHECK(other->status == 200);
    const auto again = order(daemon.callers(), "k1", "cups");
    REQUIRE(again);
    CHECK(again->status == 200);
    CHECK(again->body == "cups");
    CHECK(again->headers.find("Idempotent-Replayed") == "true");
    const auto different = order(daemon.callers(), "k1", "wicks");
    REQUIRE(different);
    CHECK(different->status == 422);
    CHECK(different->headers.find("Coriandergate-Outcome") == "not-run");
    CHECK(target.seen()["requests"].size() == 2);
}

TEST_CASE("a once-only request that was not run may be sent again with its key")
{
    DaemonUnderTest daemon;
    const auto refused = order(daemon.callers(), "k1", "cups");
    REQUIRE(refused);
    CHECK(refused->headers.find("Coriandergate-Outcome") == "not-run");
    TargetUnderTest target(daemon, { "--service=demo" });
    const auto answer = order(daemon.callers(), "k1", "cups");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(target.seen()["requests"].size() == 1);
}

TEST_CASE("a once-only request whose target cut its answer has an unknown outcome and is not run again")
{
    DaemonUnderTest daemon;
    TargetUnderTest target(daemon, { "--service=demo" });
    target.setMode(R"({"halfAnswer": true})");
    for (int round = 0; round < 3; ++round) {
        const auto answer = order(daemon.callers(), "k1", "cups");
        REQUIRE(answer);
        CHECK(answer->headers.find("Coriandergate-Outcome") == "may-have-run");
    }
    CHECK(target.seen()["requests"].size() == 1);
}
