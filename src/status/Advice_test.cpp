#include "status/Advice.h"

#include "base/Error.h"
#include "status/LineFormat.h"
#include "status/RouteStatus.h"

#include <catch2/catch.hpp>

using namespace coriandergate;
using namespace coriandergate::status;
using namespace std::chrono_literals;

TEST_CASE("call is advised only on fresh news of a target and without a refusal since the last answer")
{
    const MonotonicTime now(100s);
    struct Case {
        RouteStatus view;
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
    for (const auto& [view, action, reason] : cases) {
        const auto advice = advise(view, {}, now);
        CHECK(advice.action == action);
        CHECK(advice.reason == reason);
    }
}

TEST_CASE("a status line takes the words and the form that operators set")
{
    Error reason;
    const auto format = LineFormat::parse("svc={route};{action}!{targets}/{retry_after_s}", "GO,HOLD,AGAIN", reason);
    REQUIRE(format);
    Advice advice;
    advice.action = Action::Retry;
    advice.retryAfter = 1001ms;
    CHECK(format->render({ .route = "quotas", .targetCount = 3 }, advice) == "svc=quotas;AGAIN!3/2");
    for (const std::string_view wrong : { "{rout}", "{route", "{route}\n" })
        CHECK_FALSE(LineFormat::parse(wrong, "a,b,c", reason));
    for (const std::string_view wrong : { "a,b", "a,a,b", "a,,b", "" })
        CHECK_FALSE(LineFormat::parse("{route}", wrong, reason));
}
