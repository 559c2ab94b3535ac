#include "relay/CallerResponse.h"

#include "relay/RequestAdmission.h"
#include "testing/EntryFixture.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

TEST_CASE("a refusal says when to come back, within the bounds of the settings")
{
    testing::EntryFixture entry;
    entry.context.headers.retryAfter = "Retry-After";
    entry.context.options.minimumRetryAfter = 200ms;
    entry.context.options.maximumRetryAfter = 3000ms;
    struct Case {
        std::optional<std::chrono::milliseconds> wait;
        std::optional<std::string_view> header;
    };
    for (const auto& [wait, header] :
        { Case { 1500ms, "1.50" }, Case { 1ms, "0.20" }, Case { 60s, "3.00" }, Case { std::nullopt, std::nullopt } }) {
        const auto response = makeRefusal(entry.context, { 503, "no slot in time", wait });
        CHECK(response.status == 503);
        CHECK(response.body == "no slot in time");
        CHECK(response.headers.find("Retry-After") == header);
    }
}

TEST_CASE("callers are spread over the time that the queues take, which grows with the load")
{
    const testing::EntryFixture entry;
    const auto wait = [&](double utilization, double spread) {
        return overloadRetryAfter(entry.context, 1000ms, utilization, spread);
    };
    CHECK(wait(1.0, 0.5) == 250ms);
    CHECK(wait(1.0, 1.5) == 750ms);
    CHECK(wait(2.0, 1.0) == 1000ms);
    CHECK(wait(9.0, 1.0) == 1000ms);
    CHECK(wait(0, 1.0) == 200ms);
}

TEST_CASE("the end of a request is counted by its status and reason")
{
    testing::EntryFixture entry;
    const AdmittedRequest admitted;
    recordEnd(entry.context,
        { .admitted = admitted, .requestId = "r-1", .service = "", .status = 404, .reason = "no route" },
        SuspendAwareClock::now());
    recordEnd(entry.context,
        { .admitted = admitted,
            .requestId = "r-2",
            .service = "",
            .status = 200,
            .reason = answeredReason,
            .latency = 7ms },
        SuspendAwareClock::now());
    recordCallerLeft(entry.context,
        { .admitted = admitted, .requestId = "r-3", .service = "", .reason = callerLeftReason, .latency = 5ms },
        SuspendAwareClock::now());
    CHECK(entry.context.counters.endedByReason.at("404 no route") == 1);
    CHECK(entry.context.counters.endedByReason.at("200 answered") == 1);
    CHECK(entry.context.counters.endedByReason.at("caller left") == 1);
    CHECK(entry.context.counters.latencySumMs == 7);
}

} // namespace coriandergate::relay
