#include "testing/OnceFleet.h"

#include <catch2/catch.hpp>

using namespace coriandergate::testing;

TEST_CASE("no request runs twice despite lost daemons, pauses and an unreliable network", "[property]")
{
    unsigned knownAnswers = 0;
    unsigned ranKeys = 0;
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        OnceFleet fleet({ .seed = seed, .dataCentres = seed % 4 == 0 ? 1U : 3U });
        const auto result = fleet.run();
        CAPTURE(seed);
        REQUIRE(result.doubleRuns == 0);
        CHECK(result.seatMoves > 0);
        CHECK(result.losses > 1);
        knownAnswers += result.knownAnswers;
        ranKeys += result.ranKeys;
    }
    CHECK(ranKeys > 10'000); // refusing every request would prevent double runs, too
    CHECK(knownAnswers > 1'000);
}

TEST_CASE("without lost daemons, no outcome is unknown for a key that never reached a target", "[property]")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        OnceFleet fleet({ .seed = seed, .lossEvery = {}, .pauseEvery = {} });
        const auto result = fleet.run();
        REQUIRE(result.doubleRuns == 0);
        CHECK(result.unknownOfNewKeys == 0);
        CHECK(result.ranKeys * 100 > result.keys * 80);
    }
}

TEST_CASE("requests run twice if each entry daemon keeps a table of keys of its own", "[property]")
{
    OnceFleet fleet({ .isNaive = true });
    CHECK(fleet.run().doubleRuns > 100);
}
