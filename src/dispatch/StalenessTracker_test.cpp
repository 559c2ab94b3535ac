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

// Guards against a daemon that rejects all requests with keys for good although its relays send it fresh responses: the
// bounds on the clocks' offset contradicted each other by a fraction of a millisecond, and those of a long poll
// replaced them.
TEST_CASE("the offset of the clocks stays known when the store responds within its clock's resolution")
{
    using std::chrono::microseconds;
    const auto atMicroseconds = [](int time) { return SuspendAwareTime(microseconds(time)); };
    StalenessTracker tracker({ .maximumAge = 4500ms });
    tracker.recordResponse(atMicroseconds(1'000'900), atMicroseconds(1'001'000), 1000ms);
    tracker.recordResponse(at(2000ms), atMicroseconds(17'000'100), 17000ms);
    tracker.recordRelayed(at(30000ms), 30000ms);
    CHECK(tracker.age(at(30000ms)) <= 10ms);
}

TEST_CASE(
    "the offset of the clocks stays known when they drift apart, and when an older response overtakes a newer one")
{
    StalenessTracker tracker({ .maximumAge = 4500ms });
    tracker.recordResponse(at(1000ms), at(1004ms), 1002ms);
    SECTION("drift of 100 millionths in either direction")
    {
        const int direction = GENERATE(-1, 1);
        for (int minute = 1; minute <= 120; ++minute) {
            const auto now = std::chrono::minutes(minute);
            const auto storeTime = now + minute * direction * 6ms;
            // A long poll of 15 s, and later a response that a relay received.
            tracker.recordResponse(at(now - 15s), at(now + 4ms), storeTime + 2ms);
            tracker.recordRelayed(at(now + 10s), storeTime + 10s);
            CHECK(tracker.isFresh(at(now + 10s)));
        }
    }
    SECTION("overtaking")
    {
        tracker.recordResponse(at(9000ms), at(9004ms), 9002ms);
        tracker.recordResponse(at(2000ms), at(9500ms), 4000ms); // a response that was received after a suspension
        tracker.recordRelayed(at(12000ms), 12000ms);
        CHECK(tracker.age(at(12000ms)) <= 10ms);
    }
}

// Guards against relayed responses that are accepted as recent and then don't count as fresh.
TEST_CASE("a relayed response is as old by the latest store time as it counts")
{
    StalenessTracker tracker({ .maximumAge = 4500ms });
    CHECK_FALSE(tracker.latestStoreTime(at(0ms)));
    tracker.recordResponse(at(1000ms), at(16000ms), 16000ms); // the only response is that of a long poll
    tracker.recordRelayed(at(20000ms), 20000ms);
    CHECK_FALSE(tracker.isFresh(at(20000ms)));
    CHECK(*tracker.latestStoreTime(at(20000ms)) - 20000ms >= 15000ms);
}

TEST_CASE("a response relayed by another host is as old as the store's clock reading in it")
{
    StalenessTracker tracker({ .maximumAge = 4500ms });
    tracker.recordRelayed(at(1000ms), 70000ms);
    CHECK_FALSE(tracker.age(at(1000ms)));
    tracker.recordResponse(at(1000ms), at(1004ms), 70000ms);
    tracker.recordRelayed(at(3010ms), 72000ms);
    CHECK(tracker.age(at(4000ms)) <= 1004ms);
    tracker.recordRelayed(at(3020ms), 71000ms);
    CHECK(tracker.age(at(4000ms)) <= 1004ms);
    CHECK_FALSE(tracker.isFresh(at(7505ms)));
}

} // namespace coriandergate::dispatch
