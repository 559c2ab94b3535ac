#include "status/Advice.h"

#include "base/Error.h"
#include "status/LineFormat.h"
#include "status/RouteStatus.h"

#include <catch2/catch.hpp>

using namespace coriandergate;
using namespace coriandergate::status;
using namespace std::chrono_literals;

TEST_CASE("advise() returns Call only with recent target information and no recent refusal after the last response")
{
    const MonotonicTime now(100s);
    struct Case {
        RouteStatus status;
        Action action;
        std::string reason;
    };
    const Case cases[] = { { { "r", 0, {}, {}, false }, Action::Wait, "no-target" },
        { { "r", 2, now - 100ms, {}, false }, Action::Call, "serving" },
        { { "r", 2, now - 1500ms, {}, false }, Action::Call, "serving" },
        { { "r", 2, now - 1501ms, {}, false }, Action::Wait, "old-news" },
        { { "r", 2, {}, {}, false }, Action::Wait, "no-target" },
        { { "r", 2, now, {}, true }, Action::Wait, "stopping" },
        { { "r", 2, now, { {}, now - 1s }, false }, Action::Retry, "refused" },
        { { "r", 2, now, { now - 500ms, now - 1s }, false }, Action::Call, "serving" },
        { { "r", 2, now, { now - 2s, now - 1s }, false }, Action::Retry, "refused" },
        { { "r", 2, now, { {}, now - 2s }, false }, Action::Call, "serving" } };
    for (const auto& [status, action, reason] : cases) {
        const auto advice = advise(status, {}, now);
        CHECK(advice.action == action);
        CHECK(advice.reason == reason);
    }
}

TEST_CASE("a status line uses the configured format and action words")
{
    Error reason;
    const auto format = LineFormat::parse("svc={route};{action}!{targets}/{retry_after_s}", "GO,HOLD,AGAIN", reason);
    REQUIRE(format);
    Advice advice;
    advice.action = Action::Retry;
    advice.retryAfter = 1001ms;
    CHECK(format->render({ .route = "quotas", .targetCount = 3 }, advice) == "svc=quotas;AGAIN!3/2");
    for (const std::string_view invalid : { "{rout}", "{route", "{route}\n" })
        CHECK_FALSE(LineFormat::parse(invalid, "a,b,c", reason));
    for (const std::string_view invalid : { "a,b", "a,a,b", "a,,b", "" })
        CHECK_FALSE(LineFormat::parse("{route}", invalid, reason));
}
