#include "testing/OnceFleet.h"

#include <catch2/catch.hpp>

using namespace coriandergate::testing;

TEST_CASE("no key runs twice through losses, pauses and a bad network", "[property]")
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
    CHECK(ran > 10'000); // it isn't safe by refusing everything
    CHECK(known > 1'000);
}

TEST_CASE("without losses no outcome is unknown but those that the target left open", "[property]")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        OnceFleet fleet({ .seed = seed, .lossEvery = {}, .pauseEvery = {} });
        const auto result = fleet.run();
        REQUIRE(result.doubleRuns == 0);
        CHECK(result.unknownOfNewKeys == 0);
        CHECK(result.ranKeys * 100 > result.keys * 80);
    }
}

TEST_CASE("the naive ledger in the entry daemon's memory does run keys twice", "[property]")
{
    OnceFleet fleet({ .isNaive = true });
    CHECK(fleet.run().doubleRuns > 100);
}
