#include "fleet/StoreBackoff.h"

#include <catch2/catch.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

namespace {

    auto at(std::chrono::milliseconds time) -> MonotonicTime { return MonotonicTime(time); }

} // namespace

TEST_CASE("a host leaves the store to others after consecutive failures only")
{
    StoreBackoff backoff({ .failures = 2, .pause = 2500ms });
    backoff.recordFailure(at(1000ms));
    CHECK_FALSE(backoff.isActive(at(1100ms)));
    backoff.recordResponse();
    backoff.recordFailure(at(1200ms));
    CHECK_FALSE(backoff.isActive(at(1300ms)));
    backoff.recordFailure(at(1400ms));
    CHECK(backoff.isActive(at(1500ms)));
    backoff.recordResponse();
    CHECK_FALSE(backoff.isActive(at(1600ms)));
}

TEST_CASE("the pause counts from the request that failed last, however late it failed")
{
    StoreBackoff backoff({ .failures = 2, .pause = 2500ms });
    backoff.recordFailure(at(0ms));
    backoff.recordFailure(at(1000ms));
    CHECK(backoff.timeLeft(at(2100ms)) == 1400ms);
    backoff.extend(at(500ms)); // an older request
    CHECK(backoff.timeLeft(at(2100ms)) == 1400ms);
    CHECK(backoff.timeLeft(at(3500ms)) == 0ms);
    CHECK_FALSE(backoff.isActive(at(3500ms)));
}

} // namespace coriandergate::fleet
