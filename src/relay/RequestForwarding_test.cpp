#include "relay/RequestForwarding.h"

#include "testing/RequestFixture.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    struct Forwarded : testing::RequestFixture {
        auto start() -> void
        {
            forwarding = std::make_shared<RequestForwarding>(
                request, [this](const http::Answer& response, std::string_view reason) {
                    ++ends;
                    status = response.status;
                    hasRetryAfter = response.headers.find("Retry-After").has_value();
                    why = std::string(reason);
                });
            forwarding->start();
        }

        auto startAndWait() -> void
        {
            start();
            REQUIRE(testing::runUntil(io, [this] { return ends > 0; }));
        }

        std::shared_ptr<RequestForwarding> forwarding;
        int ends = 0;
        int status = 0;
        bool hasRetryAfter = false;
        std::string why;
    };

} // namespace

TEST_CASE_METHOD(Forwarded, "a request that some targets refuse a slot, or reject, ends with another's response")
{
    const auto outcome = GENERATE(std::optional<RunOutcome> {}, RunOutcome::NotSent, RunOutcome::NotRun);
    addPeer(outcome);
    addPeer(RunOutcome::Answered);
    startAndWait();
    CHECK(status == 200);
    CHECK(why == "answered");
    CHECK(ends == 1);
}

TEST_CASE_METHOD(Forwarded, "a request is only refused if no target may have run it")
{
    SECTION("no target has a slot")
    {
        addPeer(std::nullopt);
        startAndWait();
        CHECK(status == 503);
        CHECK(hasRetryAfter);
        CHECK(runs == 0);
    }
    SECTION("the only target rejected it")
    {
        addPeer(RunOutcome::NotRun);
        startAndWait();
        CHECK(status == 503);
    }
    SECTION("the only target may have run it")
    {
        addPeer(RunOutcome::MayHaveRun, 503);
        startAndWait();
        CHECK(status == 502);
        CHECK_FALSE(hasRetryAfter);
    }
    SECTION("a once-only request may have run at one of two targets")
    {
        route.repeatPolicy = config::RepeatPolicy::OnceOnly;
        admit(route);
        addPeer(RunOutcome::MayHaveRun, 503);
        addPeer(RunOutcome::MayHaveRun, 503);
        startAndWait();
        CHECK(status == 502);
        CHECK(runs == 1);
    }
}

TEST_CASE_METHOD(Forwarded, "the deadline leaves a refusal to a request that was not sent, and 504 to any other")
{
    addPeer(RunOutcome::Answered);
    start();
    const bool isSent = GENERATE(false, true);
    if (isSent)
        REQUIRE(testing::runUntil(io, [this] { return request->history.attempts == 1; }));
    forwarding->endByDeadline();
    CHECK(status == (isSent ? 504 : 503));
    testing::runUntil(
        io, [] { return false; }, 50ms);
    CHECK(ends == 1);
    for (const auto& target : loadBalancer.targets("stock"))
        CHECK(target->inFlight == 0);
}

TEST_CASE_METHOD(Forwarded, "a cancelled request gives back what it holds and calls nobody back")
{
    addPeer(RunOutcome::Answered);
    start();
    forwarding->cancel();
    testing::runUntil(
        io, [] { return false; }, 50ms);
    CHECK(ends == 0);
    for (const auto& target : loadBalancer.targets("stock"))
        CHECK(target->inFlight == 0);
}

// Guards against requests that are given up early at their targets: their entry was started while the store was slow,
// and knew the store's clock only within the time of a response.
TEST_CASE_METHOD(testing::RequestFixture, "a request isn't sent with an earlier end than its deadline")
{
    const auto now = SuspendAwareClock::now();
    freshness.recordClock(now - 240ms, now, 5000ms); // the clock shows 5.00 to 5.24 s
    const auto message = request->makeRunRequest(monotonicNow());
    REQUIRE(message.expiresAt);
    CHECK(*message.expiresAt >= 5240ms + message.timeLeft);
}

} // namespace coriandergate::relay
