#include "dispatch/Hedging.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

    constexpr std::size_t requestCount = 20000;
    constexpr milliseconds targetLatency { 1000 };
    constexpr milliseconds deadline { 3000 };

    // What callers see of a replayed load, and what it costs.
    struct Outcome {
        milliseconds p50 { 0 };
        milliseconds p99 { 0 };
        std::size_t secondAttempts = 0;
    };

    // Replays requests whose attempts take times drawn from `drawTime`, which is told whether it is a second attempt.
    template <typename DrawTime> auto replay(double limit, double utilization, const DrawTime& drawTime) -> Outcome
    {
        Hedging hedging({ .limit = limit });
        std::mt19937_64 random(7);
        Outcome outcome;
        std::vector<milliseconds> times;
        for (std::size_t i = 0; i < requestCount; ++i) {
            hedging.recordRequest("ledger");
            auto time = drawTime(random, false);
            const auto delay
                = hedging.delay({ .route = "sheets", .targetLatencyLeft = targetLatency, .timeLeft = deadline });
            if (delay && time > *delay && hedging.tryAcquire("ledger", utilization)) {
                ++outcome.secondAttempts;
                const auto second = drawTime(random, true);
                hedging.recordResponse("sheets", std::min(second, time));
                time = std::min(time, *delay + second);
            } else {
                hedging.recordResponse("sheets", time);
            }
            times.push_back(std::min(time, deadline));
        }
        std::sort(times.begin(), times.end());
        outcome.p50 = times[times.size() / 2];
        outcome.p99 = times[times.size() * 99 / 100];
        return outcome;
    }

    // Most requests take 300 ms on average; a twentieth stall for seconds.
    auto drawHeavyTail(std::mt19937_64& random, bool) -> milliseconds
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        std::exponential_distribution<double> typical(1.0 / 200);
        return uniform(random) < 0.05 ? milliseconds { 2900 }
                                      : milliseconds { 100 + static_cast<int>(typical(random)) };
    }

    // One of twenty targets is ten times slower than the others; a second attempt goes to another target.
    auto drawOneSlowTarget(std::mt19937_64& random, bool isSecond) -> milliseconds
    {
        std::uniform_int_distribution<int> target(0, 19);
        std::uniform_int_distribution<int> time(150, 300);
        return milliseconds { time(random) * (!isSecond && target(random) == 0 ? 10 : 1) };
    }

} // namespace

TEST_CASE("second attempts cut a heavy tail within their limit")
{
    const auto without = replay(0, 0.5, drawHeavyTail);
    const auto with = replay(0.15, 0.5, drawHeavyTail);
    CHECK(without.secondAttempts == 0);
    CHECK(without.p99 > 2 * targetLatency);
    CHECK(with.p99 < without.p99 * 3 / 4);
    CHECK(with.p50 <= without.p50);
    CHECK(with.secondAttempts <= requestCount * 15 / 100);
}

TEST_CASE("second attempts get requests off one slow target")
{
    const auto without = replay(0, 0.5, drawOneSlowTarget);
    const auto with = replay(0.15, 0.5, drawOneSlowTarget);
    CHECK(without.p99 > 2 * targetLatency);
    CHECK(with.p99 <= targetLatency * 3 / 2);
    CHECK(with.secondAttempts <= requestCount * 15 / 100);
}

TEST_CASE("a service that is slow as a whole gets no second attempts")
{
    std::uniform_int_distribution<int> slow(1200, 2800);
    const auto busy
        = replay(0.1, 1.3, [&slow](std::mt19937_64& random, bool) { return milliseconds { slow(random) }; });
    CHECK(busy.secondAttempts == 0);
    // Also where its slots are free, the share of second attempts stays within the limit.
    const auto idle
        = replay(0.1, 0.3, [&slow](std::mt19937_64& random, bool) { return milliseconds { slow(random) }; });
    CHECK(idle.secondAttempts <= requestCount / 10);
}

TEST_CASE("without a limit no request gets a second attempt")
{
    Hedging hedging({});
    hedging.recordRequest("ledger");
    CHECK_FALSE(hedging.delay({ .route = "sheets", .targetLatencyLeft = 1s, .timeLeft = 3s }));
    CHECK_FALSE(hedging.tryAcquire("ledger", 0));
}

TEST_CASE("the delay follows the response times of a route once enough are known")
{
    Hedging hedging({ .limit = 0.1 });
    const Hedging::Request request { .route = "sheets", .targetLatencyLeft = 900ms, .timeLeft = 3s };
    CHECK(hedging.delay(request) == 600ms); // the median is taken for a third of the target latency
    for (int i = 0; i < 100; ++i)
        hedging.recordResponse("sheets", i < 85 ? 100ms : 1400ms);
    const auto delay = hedging.delay(request);
    REQUIRE(delay);
    CHECK(*delay >= 1400ms);
    CHECK(*delay <= 1400ms * 12 / 10);
    for (int i = 0; i < 2000; ++i)
        hedging.recordResponse("sheets", 100ms);
    CHECK(hedging.delay(request) >= 900ms - 120ms);
}

TEST_CASE("a request that could not end before its deadline gets no second attempt")
{
    const Hedging hedging({ .limit = 0.1 });
    CHECK_FALSE(hedging.delay({ .route = "sheets", .targetLatencyLeft = 900ms, .timeLeft = 900ms }));
}

TEST_CASE("a quiet time saves up only a few second attempts")
{
    Hedging hedging({ .limit = 0.5, .maximumSaved = 2 });
    for (int i = 0; i < 100; ++i)
        hedging.recordRequest("ledger");
    CHECK(hedging.tryAcquire("ledger", 0));
    CHECK(hedging.tryAcquire("ledger", 0));
    CHECK_FALSE(hedging.tryAcquire("ledger", 0));
    CHECK_FALSE(hedging.tryAcquire("another", 0));
}

} // namespace coriandergate::dispatch
