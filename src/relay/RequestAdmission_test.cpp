#include "relay/RequestAdmission.h"

#include "config/KeyDigest.h"
#include "dispatch/RunningPriorities.h"
#include "http/Request.h"
#include "testing/EntryFixture.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    struct Admission : testing::EntryFixture {
        Admission()
        {
            context.headers
                = { .requestId = "Request-Id", .deadline = "Deadline", .retryAfter = "Retry-After", .apiKey = "Key" };
            config::Configuration configuration;
            configuration.version = 1;
            configuration.requiresApiKeys = true;
            configuration.routes.push_back({ .name = "open",
                .host = "shop.example",
                .pathPrefix = "/open/",
                .service = "stock",
                .isOpen = true,
                .deadline = 5s });
            configuration.routes.push_back({ .name = "keyed",
                .host = "shop.example",
                .pathPrefix = "/keyed/",
                .service = "stock",
                .deadline = 5s,
                .priority = 4 });
            configuration.clientAccounts.push_back(
                { .name = "shop", .keyDigests = { config::digestOfKey("secret") }, .priority = 1 });
            context.snapshot = std::make_shared<const PolicySnapshot>(std::move(configuration));
            request.method = "GET";
            request.target = "/open/1";
            request.headers.add("Host", "shop.example");
            request.headers.add("Request-Id", "r-1");
        }

        auto admit() -> std::optional<RequestRefusal>
        {
            return admitRequest(context, request, receivedAt, SuspendAwareClock::now(), admitted);
        }

        auto recordFreshResponse() -> void
        {
            const auto now = SuspendAwareClock::now();
            freshness.recordResponse(now, now, 1s);
        }

        http::Request request;
        MonotonicTime receivedAt = monotonicNow();
        AdmittedRequest admitted;
    };

} // namespace

TEST_CASE_METHOD(Admission, "a request of an open route is admitted with the route's deadline")
{
    REQUIRE_FALSE(admit());
    CHECK(admitted.route->name == "open");
    CHECK(admitted.deadline == receivedAt + 5s);
    CHECK(admitted.isCallFromTarget());
}

TEST_CASE_METHOD(Admission, "the caller's deadline holds if it is earlier, less the time of the response")
{
    request.headers.add("Deadline", "1030");
    REQUIRE_FALSE(admit());
    CHECK(admitted.deadline == receivedAt + 1s);
}

TEST_CASE_METHOD(Admission, "a deadline that is no number, and a later one, change nothing")
{
    for (const auto* text : { "soon", "-5", "90000" }) {
        request.headers.replace("Deadline", text);
        REQUIRE_FALSE(admit());
        CHECK(admitted.deadline == receivedAt + 5s);
    }
}

TEST_CASE_METHOD(Admission, "the deadline ends before the daemon does")
{
    context.shutdownDeadline = receivedAt + 2s;
    REQUIRE_FALSE(admit());
    CHECK(admitted.deadline == receivedAt + 2s);
}

TEST_CASE_METHOD(Admission, "a key decides the account and goes before the route's priority")
{
    request.target = "/keyed/1";
    request.headers.add("Key", "secret");
    recordFreshResponse();
    REQUIRE_FALSE(admit());
    REQUIRE(admitted.clientAccount);
    CHECK(admitted.clientAccount->name == "shop");
    CHECK(admitted.priority == 1);
    CHECK_FALSE(admitted.isCallFromTarget());
}

TEST_CASE_METHOD(Admission, "a call inherits the highest priority of the running requests where time is scarce")
{
    dispatch::RunningPriorities running;
    context.runningPriorities = &running;
    auto configuration = context.snapshot->configuration();
    configuration.routes.front().targetLatency = GENERATE(2s, 1s); // of a deadline of 5 s
    const bool hasLittleSlack = configuration.routes.front().targetLatency == 2s;
    configuration.routes.front().priority = 7;
    context.snapshot = std::make_shared<const PolicySnapshot>(std::move(configuration));
    REQUIRE_FALSE(admit());
    CHECK(admitted.queueAccount("stock") == nullptr);
    CHECK(admitted.queuePriority(context, "stock") == 4);
    running.add(9);
    CHECK(admitted.queuePriority(context, "stock") == (hasLittleSlack ? 9 : 4));
    running.add(6);
    running.add(6);
    running.remove(6);
    CHECK(admitted.queuePriority(context, "stock") == (hasLittleSlack ? 6 : 4));
    running.remove(6);
    CHECK(admitted.queuePriority(context, "stock") == (hasLittleSlack ? 9 : 4));
    running.remove(9);
    CHECK(admitted.queuePriority(context, "stock") == 4);
}

TEST_CASE_METHOD(Admission, "a request with a key keeps its priority and takes turns by account where time is scarce")
{
    dispatch::RunningPriorities running;
    running.add(0);
    context.runningPriorities = &running;
    request.target = "/keyed/1";
    request.headers.add("Key", "secret");
    recordFreshResponse();
    REQUIRE_FALSE(admit());
    CHECK(admitted.queuePriority(context, "stock") == 1);
    CHECK(admitted.queueAccount("stock") == nullptr);
    auto configuration = context.snapshot->configuration();
    configuration.routes.front().targetLatency = 2s;
    context.snapshot = std::make_shared<const PolicySnapshot>(std::move(configuration));
    REQUIRE_FALSE(admit());
    CHECK(admitted.queuePriority(context, "stock") == 1);
    CHECK(admitted.queueAccount("stock") == admitted.clientAccount);
}

TEST_CASE_METHOD(Admission, "requests that can't be admitted are refused with a reason")
{
    SECTION("no configuration")
    {
        context.snapshot = nullptr;
        const auto refusal = admit();
        REQUIRE(refusal);
        CHECK(refusal->status == 503);
        CHECK(refusal->retryAfter.has_value());
    }
    SECTION("no id")
    {
        request.headers.removeAll("Request-Id");
        CHECK(admit()->status == 400);
    }
    SECTION("no route")
    {
        request.target = "/elsewhere/";
        CHECK(admit()->status == 404);
    }
    SECTION("a configuration that may be out of date")
    {
        request.target = "/keyed/1";
        request.headers.add("Key", "secret");
        CHECK(admit()->status == 503);
    }
    SECTION("no key, and an unknown key")
    {
        request.target = "/keyed/1";
        recordFreshResponse();
        CHECK(admit()->reason == "no key");
        request.headers.add("Key", "wrong");
        const auto refusal = admit();
        REQUIRE(refusal);
        CHECK(refusal->status == 401);
        CHECK(refusal->reason == "unknown key");
        CHECK(admitted.route->name == "keyed");
    }
    SECTION("a closed port")
    {
        context.callerPortClosesAt = receivedAt;
        CHECK(admit()->reason == shutdownReason);
    }
}

} // namespace coriandergate::relay
