// Measures the decisions of admission/ and once/ and their naive versions on the same seeded runs. Takes no arguments;
// bounded in time.
#include "admission/HedgePolicy.h"
#include "admission/RetryPolicy.h"
#include "testing/OnceFleet.h"
#include "testing/OverloadRun.h"

#include <algorithm>
#include <cstdio>
#include <random>

using namespace coriandergate;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 5;

auto median(std::vector<double> values) -> double
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

auto measureOverload(double load, bool isNaive) -> void
{
    std::vector<double> goodput;
    std::vector<double> worst;
    std::uint64_t late = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        testing::OverloadOptions options { .seed = seed, .load = load, .isNaive = isNaive };
        options.accounts = testing::fewLargeAccounts();
        const auto result = testing::runOverload(options);
        goodput.push_back(result.goodput);
        worst.push_back(result.worstShare);
        late += result.late;
    }
    std::printf("overload %.1fx %-6s goodput median %.3f worst %.3f of capacity; worst account median %.3f worst %.3f "
                "of its fair share; late %llu\n",
        load, isNaive ? "naive" : "fair", median(goodput), *std::min_element(goodput.begin(), goodput.end()),
        median(worst), *std::min_element(worst.begin(), worst.end()), static_cast<unsigned long long>(late));
}

// Attempts for each request while a part of them fails, for retries without a budget (three tries) and with one.
auto measureOutage(double failing) -> void
{
    constexpr int requests = 100'000;
    constexpr unsigned tries = 3;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<> draw(0, 1);
    admission::RetryBudget budget({});
    int naive = 0;
    int budgeted = 0;
    int served = 0;
    for (int number = 0; number < requests; ++number) {
        const auto now = MonotonicTime(std::chrono::milliseconds { number });
        const auto account = "account-" + std::to_string(random() % 8);
        for (unsigned attempt = 1; attempt <= tries; ++attempt) {
            ++naive;
            if (draw(random) >= failing)
                break;
        }
        budget.recordRequest("orders", account);
        for (unsigned attempt = 1;; ++attempt) {
            ++budgeted;
            if (draw(random) >= failing) {
                ++served;
                break;
            }
            const admission::FinishedAttempt finished { "orders", account, config::RepeatPolicy::Idempotent,
                admission::AttemptResult::MayHaveRun, attempt, admission::Deadline(now + 1s) };
            if (!std::holds_alternative<admission::RetryOnOtherTarget>(
                    admission::decideRetry(finished, {}, budget, now)))
                break;
        }
    }
    std::printf("outage %3.0f%% failing: attempts a request naive %.3f, with budget %.3f; answered with budget %.4f\n",
        failing * 100, static_cast<double>(naive) / requests, static_cast<double>(budgeted) / requests,
        static_cast<double>(served) / requests);
}

// Two targets with log-normal service times; the second attempt goes out when HedgePolicy says so and the budget lets.
auto measureHedging() -> void
{
    constexpr int requests = 100'000;
    std::mt19937_64 random(1);
    std::lognormal_distribution<> takes(-0.5, 1);
    admission::HedgePolicy policy({});
    admission::RetryBudget budget({});
    std::vector<double> plain;
    std::vector<double> hedged;
    int attempts = 0;
    for (int number = 0; number < requests; ++number) {
        const auto now = MonotonicTime(std::chrono::milliseconds { number });
        const auto first = std::chrono::duration_cast<MonotonicDuration>(10ms * takes(random));
        const auto second = std::chrono::duration_cast<MonotonicDuration>(10ms * takes(random));
        budget.recordRequest("studio", "a");
        ++attempts;
        auto took = first;
        const auto wait
            = policy.hedgeDelay("studio", config::RepeatPolicy::Idempotent, admission::Deadline(now + 1s), now);
        if (wait && first > *wait && budget.tryConsumeToken("studio", "a")) {
            ++attempts;
            took = std::min(first, *wait + second);
        }
        policy.recordServiceTime("studio", first);
        plain.push_back(std::chrono::duration<double, std::milli>(first).count());
        hedged.push_back(std::chrono::duration<double, std::milli>(took).count());
    }
    const auto p99 = [](std::vector<double>& values) {
        std::sort(values.begin(), values.end());
        return values[values.size() * 99 / 100];
    };
    std::printf("hedging: p99 plain %.1f ms, hedged %.1f ms; attempts a request %.3f\n", p99(plain), p99(hedged),
        static_cast<double>(attempts) / requests);
}

auto measureOnce(const char* name, testing::OnceFleet::Options options) -> void
{
    testing::OnceFleet::Result sum;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        options.seed = seed;
        const auto result = testing::OnceFleet(options).run();
        sum.sent += result.sent;
        sum.keys += result.keys;
        sum.ranKeys += result.ranKeys;
        sum.doubleRuns += result.doubleRuns;
        sum.knownAnswers += result.knownAnswers;
        sum.unknownAnswers += result.unknownAnswers;
        sum.unknownOfNewKeys += result.unknownOfNewKeys;
        sum.refused += result.refused;
        sum.seatMoves += result.seatMoves;
        sum.losses += result.losses;
    }
    std::printf("once %-28s sent %u keys %u ran %u twice %u; replayed %u, unknown %u (of never run keys %u), refused "
                "%u; losses %u seat moves %u\n",
        name, sum.sent, sum.keys, sum.ranKeys, sum.doubleRuns, sum.knownAnswers, sum.unknownAnswers,
        sum.unknownOfNewKeys, sum.refused, sum.losses, sum.seatMoves);
}

} // namespace

auto main() -> int
{
    for (const auto load : { 0.9, 2.0, 5.0 }) {
        measureOverload(load, false);
        measureOverload(load, true);
    }
    for (const auto failing : { 0.01, 0.05, 0.5, 1.0 })
        measureOutage(failing);
    measureHedging();
    measureOnce("naive, losses and pauses", { .isNaive = true });
    measureOnce("no losses, no pauses", { .lossEvery = {}, .pauseEvery = {} });
    measureOnce("pauses only", { .lossEvery = {} });
    measureOnce("a loss a retention", { .retention = 120s, .lossEvery = 120'000ms });
    measureOnce("three losses a retention", {});
    return 0;
}
