#include "dispatch/StalenessTracker.h"

#include <catch2/catch.hpp>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;

namespace {

    auto at(std::chrono::milliseconds time) -> SuspendAwareTime { return SuspendAwareTime(time); }

} // namespace

TEST_CASE("data is never fresh before the first response")
{
    const StalenessTracker tracker({ .maximumAge = 4500ms });
    CHECK_FALSE(tracker.isFresh(at(0ms)));
    CHECK_FALSE(tracker.age(at(10ms)));
}

TEST_CASE("a response proves freshness as of the sending of its request")
{
    StalenessTracker tracker({ .maximumAge = 4500ms });
    tracker.recordResponse(at(1000ms), at(3000ms), 50ms);
    CHECK(tracker.isFresh(at(5500ms)));
    CHECK_FALSE(tracker.isFresh(at(5501ms)));
}

TEST_CASE("after a quick response the age of a long poll's response is derived from the store's clock")
{
    StalenessTracker tracker({ .maximumAge = 4500ms });
    tracker.recordResponse(at(1000ms), at(1004ms), 70000ms);
    tracker.recordResponse(at(1010ms), at(3014ms), 72010ms);
    CHECK(tracker.age(at(3014ms)) <= 6ms);
}

TEST_CASE(
    "the age of a response that waited in a socket while the host was suspended is derived from the store's clock")
{
    StalenessTracker tracker({ .maximumAge = 4500ms });
    tracker.recordResponse(at(1000ms), at(1004ms), 70000ms);
    tracker.recordResponse(at(1010ms), at(9000ms), 70020ms);
    CHECK_FALSE(tracker.isFresh(at(9000ms)));
}

TEST_CASE("after the store's clock starts over only later responses count")
{
    StalenessTracker tracker({ .maximumAge = 4500ms });
    tracker.recordResponse(at(1000ms), at(1004ms), 70000ms);
    tracker.recordResponse(at(2000ms), at(2004ms), 5ms);
    CHECK(tracker.age(at(2004ms)) == 4ms);
    CHECK(*tracker.storeTime(at(3000ms)) <= 1005ms);
}

TEST_CASE("a response relayed by another host is as old as the store's clock reading in it")
{
    StalenessTracker tracker({ .maximumAge = 4500ms });
    tracker.recordRelayed(70000ms);
    CHECK_FALSE(tracker.age(at(1000ms)));
    tracker.recordResponse(at(1000ms), at(1004ms), 70000ms);
    tracker.recordRelayed(72000ms);
    CHECK(tracker.age(at(4000ms)) <= 1004ms);
    tracker.recordRelayed(71000ms);
    CHECK(tracker.age(at(4000ms)) <= 1004ms);
    CHECK_FALSE(tracker.isFresh(at(7505ms)));
}

} // namespace coriandergate::dispatch
