#include "dispatch/CrashTracker.h"

#include <catch2/catch.hpp>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;

namespace {

    const MonotonicTime start { 100s };

} // namespace

TEST_CASE("each crash counts once, however many requests with one fingerprint were running on the target")
{
    CrashTracker tracker({});
    CHECK(tracker.recordCrash(7, "a", start) == 1);
    CHECK(tracker.recordCrash(7, "a", start + 900ms) == 1);
    CHECK(tracker.recordCrash(7, "b", start + 900ms) == 2);
    CHECK(tracker.recordCrash(7, "a", start + 2s) == 3); // it was up again
    CHECK(tracker.crashes(7, start + 2s) == 3);
    CHECK(tracker.crashes(8, start + 2s) == 0);
}

TEST_CASE("a request that a target answered, or that crashed none for a long time, starts anew")
{
    CrashTracker tracker({ .lifetime = 60s });
    tracker.recordCrash(7, "a", start);
    tracker.recordCrash(7, "b", start);
    SECTION("answered")
    {
        tracker.recordSuccess(7);
        CHECK(tracker.recordCrash(7, "c", start + 1s) == 1);
    }
    SECTION("long ago")
    {
        CHECK(tracker.crashes(7, start + 61s) == 0);
        CHECK(tracker.recordCrash(7, "c", start + 61s) == 1);
    }
    SECTION("not long ago") { CHECK(tracker.recordCrash(7, "c", start + 60s) == 3); }
}

// Load pattern: several crashing requests among a great number of others that were running when a target crashed.
TEST_CASE("the number of tracked requests is bounded, and those that crash targets again and again are kept")
{
    CrashTracker tracker({ .maximumRequests = 8 });
    auto now = start;
    for (std::uint64_t i = 0; i < 100; ++i) {
        now += 1s;
        tracker.recordCrash(1, "a", now);
        tracker.recordCrash(2, "b", now);
        tracker.recordCrash(1000 + i, "a", now);
        CHECK(tracker.size() <= 8);
    }
    CHECK(tracker.crashes(1, now) == 100);
    CHECK(tracker.crashes(2, now) == 100);
}

} // namespace coriandergate::dispatch
