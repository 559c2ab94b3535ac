#include "fleet/StoreView.h"

#include "testing/FleetSimulation.h"

#include <catch2/catch.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

using testing::FleetSimulation;

// Replays the restart of a whole fleet: about 180 daemons need both tables over one link between regions at once.
TEST_CASE("after a restart of everything the region without the store is informed as soon as the other one")
{
    FleetSimulation fleet({ .hosts = 354, .seed = GENERATE(1U, 2U, 3U) });
    fleet.startAll();
    const auto time = fleet.timeUntilInformed(0.9, 20s);
    const auto requests = fleet.storeRequests();
    const auto bytes = fleet.regionLinkBytes();
    INFO("store requests " << requests << ", region link bytes " << bytes << ", snapshot " << fleet.snapshotBytes());
    REQUIRE(time);
    CHECK(time->count() <= 2500);
}

TEST_CASE("hosts that are started again copy the tables from those that kept running")
{
    FleetSimulation fleet({ .hosts = 354, .seed = GENERATE(1U, 2U, 3U) });
    fleet.startAll();
    fleet.runFor(5s);
    const auto requestsBefore = fleet.storeRequests();
    // Every host with an odd number in its data centre.
    fleet.stop([](std::size_t host) { return host / 8 % 2 == 1; });
    fleet.runFor(2s);
    fleet.startAll();
    const auto time = fleet.timeUntilInformed(0.95, 10s);
    REQUIRE(time);
    CHECK(time->count() <= 2500);
    // The first rows for each started host, and the relays' polls and reads.
    CHECK(fleet.storeRequests() - requestsBefore <= 176 + 60);
}

} // namespace coriandergate::fleet
