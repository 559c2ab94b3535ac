// A script that obeys the status text, against a real daemon.
#include "base/Clock.h"
#include "fixture/DaemonUnderTest.h"
#include "fixture/TargetUnderTest.h"
#include "testing/SimpleCall.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace coriandergate;
using namespace coriandergate::testing;

namespace {

auto fetch(const DaemonUnderTest& daemon, const std::string& path) -> http::Answer
{
    http::Request request { .method = "GET", .target = path, .headers = {}, .body = {} };
    request.headers.add("X-Api-Key", "demo-key");
    Error reason;
    auto answer = simpleCall(daemon.callers(), request, std::chrono::seconds(10), reason);
    INFO(reason.toText());
    REQUIRE(answer);
    return std::move(*answer);
}

auto saysCall(const DaemonUnderTest& daemon) -> bool
{
    return fetch(daemon, "/status").body.find("demo-open GO ") != std::string::npos;
}

} // namespace

TEST_CASE("a script that obeys the status text is not refused for want of a target, also while targets come and go")
{
    DaemonUnderTest daemon({ "--status-words=GO,HOLD,AGAIN" });
    CHECK(fetch(daemon, "/status").body.find("demo HOLD targets=0 age_ms=0") != std::string::npos);
    int calls = 0;
    int holds = 0;
    for (int round = 0; round < 3; ++round) {
        TargetUnderTest target(daemon, { "--service=demo", "--linger=2000" });
        bool hasLeft = false;
        for (int i = 0; i < 60; ++i) {
            if (i == 30)
                target.process().terminate(); // leaves, and then serves on for its linger time
            if (!saysCall(daemon)) {
                ++holds;
                hasLeft = hasLeft || i > 30;
                continue;
            }
            ++calls;
            const auto answer = fetch(daemon, "/open");
            INFO("round " << round << ", call " << i << ": " << answer.body);
            CHECK(answer.status == 200);
        }
        CHECK(hasLeft);
    }
    CHECK(calls > 30);
    CHECK(holds > 30);
}

TEST_CASE("news of a target that fell silent turns the text to wait before the target is forgotten")
{
    DaemonUnderTest daemon({ "--status-words=GO,HOLD,AGAIN", "--target-ttl-ms=60000" });
    TargetUnderTest target(daemon, { "--service=demo" });
    REQUIRE(saysCall(daemon));
    target.process().pause();
    const auto end = monotonicNow() + std::chrono::seconds(10);
    while (saysCall(daemon) && monotonicNow() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    CHECK(fetch(daemon, "/status").body.find("demo-open HOLD targets=1") != std::string::npos);
    target.process().resume();
}
