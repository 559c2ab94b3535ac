#include "testing/OverloadRun.h"

#include <catch2/catch.hpp>

using namespace coriandergate::testing;
using namespace std::chrono_literals;

// The bounds are the users' service level objectives.
TEST_CASE(
    "at twice the capacity goodput stays at 90% and each account gets at least 80% of its fair share", "[property]")
{
    for (const auto deadline : { 60ms, 300ms, 2000ms }) {
        for (const auto spread : { 0.1, 0.5, 1.0 }) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                CAPTURE(deadline.count(), spread, seed);
                OverloadOptions options { .seed = seed, .serviceSpread = spread, .deadline = deadline };
                options.accounts = fewLargeAccounts();
                const auto result = runOverload(options);
                CHECK(result.goodput >= 0.9);
                CHECK(result.worstShare >= 0.8);
                CHECK(result.highestConcurrency == options.slots);
            }
        }
    }
}

TEST_CASE("a plain FIFO queue loses goodput and fairness at twice the capacity", "[property]")
{
    OverloadOptions options { .accounts = fewLargeAccounts(), .isNaive = true };
    const auto result = runOverload(options);
    CHECK(result.goodput < 0.5);
    CHECK(result.worstShare < 0.5);
}
