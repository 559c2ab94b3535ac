#include "admission/HedgePolicy.h"
#include "admission/RetryPolicy.h"

#include <catch2/catch.hpp>
#include <random>

using namespace coriandergate;
using namespace coriandergate::admission;
using namespace std::chrono_literals;

TEST_CASE("a request is retried exactly when its repeat policy, last result, attempt count and deadline allow it")
{
    using config::RepeatPolicy;
    struct Row {
        RepeatPolicy policy;
        AttemptResult result;
        unsigned attempts;
        MonotonicDuration remaining;
        bool isRetryExpected;
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
        CHECK(std::holds_alternative<RetryOnOtherTarget>(decideRetry(attempt, {}, budget, now)) == row.isRetryExpected);
        CHECK(budget.tryConsumeToken("orders", "a") != row.isRetryExpected);
    }
}

TEST_CASE("the retry budget limits attempts to 1.1 times the requests across all accounts", "[property]")
{
    for (const std::uint64_t seed : { 1, 2, 3 }) {
        std::mt19937_64 random(seed);
        RetryBudget budget({});
        int requests = 0;
        int retries = 0;
        for (int step = 0; step < 20000; ++step) {
            const auto account = std::to_string(random() % 50);
            if (random() % 4 == 0) {
                budget.recordRequest("orders", account);
                ++requests;
            } else if (budget.tryConsumeToken("orders", account)) {
                ++retries;
            }
            REQUIRE(retries * 10 <= requests);
        }
        CHECK(retries * 20 > requests);
    }
}

TEST_CASE("hedges are sent after the 95th percentile, only for idempotent requests and with enough samples")
{
    HedgePolicy policy({ .minimumSamples = 20 });
    const MonotonicTime now {};
    const auto deadline = Deadline::after(1s, now);
    const auto idempotent = config::RepeatPolicy::Idempotent;
    for (int sample = 0; sample < 19; ++sample)
        policy.recordServiceTime("studio", 10ms);
    CHECK_FALSE(policy.hedgeDelay("studio", idempotent, deadline, now));
    policy.recordServiceTime("studio", 10ms);
    const auto delay = policy.hedgeDelay("studio", idempotent, deadline, now);
    REQUIRE(delay);
    CHECK(*delay >= 10ms);
    CHECK(*delay <= 12ms);
    CHECK_FALSE(policy.hedgeDelay("studio", config::RepeatPolicy::OnceOnly, deadline, now));
    CHECK_FALSE(policy.hedgeDelay("studio", idempotent, Deadline::after(15ms, now), now));
}

TEST_CASE("the remaining time decreases at each hop, and malformed values are rejected")
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
