#include "testing/OnceFleet.h"

#include <catch2/catch.hpp>

using namespace coriandergate::testing;

TEST_CASE("no key runs twice despite lost daemons, pauses and an unreliable network", "[property]")
{
    unsigned known = 0;
    unsigned ran = 0;
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        OnceFleet fleet({ .seed = seed, .dataCentres = seed % 4 == 0 ? 1U : 3U });
        const auto result = fleet.run();
        CAPTURE(seed);
        REQUIRE(result.doubleRuns == 0);
        CHECK(result.seatMoves > 0);
        CHECK(result.losses > 1);
        known += result.knownAnswers;
        ran += result.ranKeys;
    }
    CHECK(ran > 10'000); // refusing every request would prevent double runs, too
    CHECK(known > 1'000);
}

TEST_CASE("without lost daemons, an outcome is unknown only if the target left it open", "[property]")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        OnceFleet fleet({ .seed = seed, .lossEvery = {}, .pauseEvery = {} });
        const auto result = fleet.run();
        REQUIRE(result.doubleRuns == 0);
        CHECK(result.unknownOfNewKeys == 0);
        CHECK(result.ranKeys * 100 > result.keys * 80);
    }
}

TEST_CASE("a table of keys in the memory of each entry daemon lets keys run twice", "[property]")
{
    OnceFleet fleet({ .isNaive = true });
    CHECK(fleet.run().doubleRuns > 100);
}
