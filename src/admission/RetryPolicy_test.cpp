#include "admission/HedgePolicy.h"
#include "admission/RetryPolicy.h"

#include <catch2/catch.hpp>
#include <random>

using namespace coriandergate;
using namespace coriandergate::admission;
using namespace std::chrono_literals;

TEST_CASE("exactly the requests that may be sent again are")
{
    using config::RepeatPolicy;
    struct Row {
        RepeatPolicy policy;
        AttemptResult result;
        unsigned attempts;
        MonotonicDuration remaining;
        bool again;
    };
    const auto idempotent = RepeatPolicy::Idempotent;
    const auto onceOnly = RepeatPolicy::OnceOnly;
    for (const auto& row :
        std::initializer_list<Row> { { idempotent, AttemptResult::NotRun, 1, 1s, true },
            { idempotent, AttemptResult::MayHaveRun, 1, 1s, true }, { idempotent, AttemptResult::Failed, 1, 1s, true },
            { idempotent, AttemptResult::Completed, 1, 1s, false }, { idempotent, AttemptResult::Failed, 3, 1s, false },
            { idempotent, AttemptResult::Failed, 1, 4ms, false }, { onceOnly, AttemptResult::NotRun, 1, 1s, true },
            { onceOnly, AttemptResult::NotRun, 3, 1s, false }, { onceOnly, AttemptResult::MayHaveRun, 1, 1s, false },
            { onceOnly, AttemptResult::Failed, 1, 1s, false }, { onceOnly, AttemptResult::Completed, 1, 1s, false } }) {
        RetryBudget budget({ .serviceTokensPerRequest = 1 });
        budget.recordRequest("orders", "a");
        const MonotonicTime now {};
        const FinishedAttempt attempt { "orders", "a", row.policy, row.result, row.attempts,
            Deadline::after(row.remaining, now) };
        CHECK(std::holds_alternative<RetryOnOtherTarget>(decideRetry(attempt, {}, budget, now)) == row.again);
        CHECK(budget.tryConsumeToken("orders", "a") != row.again);
    }
}

TEST_CASE("attempts are never more than 1.1 times the requests, whoever asks", "[property]")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        std::mt19937_64 random(seed);
        RetryBudget budget({});
        int requests = 0;
        int further = 0;
        for (int step = 0; step < 20000; ++step) {
            const auto account = std::to_string(random() % 50);
            if (random() % 4 == 0) {
                budget.recordRequest("orders", account);
                ++requests;
            } else if (budget.tryConsumeToken("orders", account)) {
                ++further;
            }
            REQUIRE(further * 10 <= requests);
        }
        CHECK(further * 20 > requests);
    }
}

TEST_CASE("hedging waits for the tail of an idempotent service and for enough knowledge of it")
{
    HedgePolicy policy({ .minimumSamples = 20 });
    const MonotonicTime now {};
    const auto deadline = Deadline::after(1s, now);
    const auto idempotent = config::RepeatPolicy::Idempotent;
    for (int record = 0; record < 19; ++record)
        policy.recordServiceTime("studio", 10ms);
    CHECK_FALSE(policy.hedgeDelay("studio", idempotent, deadline, now));
    policy.recordServiceTime("studio", 10ms);
    const auto wait = policy.hedgeDelay("studio", idempotent, deadline, now);
    REQUIRE(wait);
    CHECK(*wait >= 10ms);
    CHECK(*wait <= 12ms);
    CHECK_FALSE(policy.hedgeDelay("studio", config::RepeatPolicy::OnceOnly, deadline, now));
    CHECK_FALSE(policy.hedgeDelay("studio", idempotent, Deadline::after(15ms, now), now));
}

TEST_CASE("the remaining time shrinks from hop to hop and is read strictly")
{
    const MonotonicTime now {};
    const auto deadline = Deadline::after(100ms, now);
    CHECK(deadline.remainingForNextHop(now + 10ms, 2ms) == 88ms);
    CHECK_FALSE(deadline.remainingForNextHop(now + 98ms, 2ms));
    Error error;
    CHECK(parseRemainingTime("250", error) == 250ms);
    for (const auto* text : { "", "0", "-1", "+5", "1.5", "5 ", "86400001", "99999999999999999999" })
        CHECK_FALSE(parseRemainingTime(text, error));
    CHECK(error.step == "read remaining time");
}
