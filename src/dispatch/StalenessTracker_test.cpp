#include "dispatch/StalenessTracker.h"

#include <catch2/catch.hpp>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;

namespace {

    auto at(std::chrono::milliseconds time) -> SuspendAwareTime { return SuspendAwareTime(time); }

} // namespace

TEST_CASE("news without any answer is never fresh")
{
    const StalenessTracker proof({ .maximumAge = 4500ms });
    CHECK_FALSE(proof.isFresh(at(0ms)));
    CHECK_FALSE(proof.age(at(10ms)));
}

TEST_CASE("an answer proves the time at which its question was sent")
{
    StalenessTracker proof({ .maximumAge = 4500ms });
    proof.recordResponse(at(1000ms), at(3000ms), 50ms);
    CHECK(proof.isFresh(at(5500ms)));
    CHECK_FALSE(proof.isFresh(at(5501ms)));
}

TEST_CASE("the store's clock dates the answer to a long poll by a quick answer before it")
{
    StalenessTracker proof({ .maximumAge = 4500ms });
    proof.recordResponse(at(1000ms), at(1004ms), 70000ms);
    proof.recordResponse(at(1010ms), at(3014ms), 72010ms);
    CHECK(proof.age(at(3014ms)) <= 6ms);
}

TEST_CASE("an answer that lay in a socket while the host was suspended proves nothing newer than the store's clock")
{
    StalenessTracker proof({ .maximumAge = 4500ms });
    proof.recordResponse(at(1000ms), at(1004ms), 70000ms);
    proof.recordResponse(at(1010ms), at(9000ms), 70020ms);
    CHECK_FALSE(proof.isFresh(at(9000ms)));
}

TEST_CASE("a store with a clock that began anew is dated by its own answers only")
{
    StalenessTracker proof({ .maximumAge = 4500ms });
    proof.recordResponse(at(1000ms), at(1004ms), 70000ms);
    proof.recordResponse(at(2000ms), at(2004ms), 5ms);
    CHECK(proof.age(at(2004ms)) == 4ms);
    CHECK(*proof.storeTime(at(3000ms)) <= 1005ms);
}

TEST_CASE("news that another daemon passed on is as old as the store's time in it")
{
    StalenessTracker proof({ .maximumAge = 4500ms });
    proof.recordRelayed(70000ms);
    CHECK_FALSE(proof.age(at(1000ms)));
    proof.recordResponse(at(1000ms), at(1004ms), 70000ms);
    proof.recordRelayed(72000ms);
    CHECK(proof.age(at(4000ms)) <= 1004ms);
    proof.recordRelayed(71000ms);
    CHECK(proof.age(at(4000ms)) <= 1004ms);
    CHECK_FALSE(proof.isFresh(at(7505ms)));
}

} // namespace coriandergate::dispatch
