#include "fleet/StoreView.h"

#include "testing/FleetSimulation.h"

#include <algorithm>
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
    // Two hosts read the tables over the link, a third copy is for retries, and each host reads the first rows and the
    // changes since its copy.
    CHECK(bytes <= 3 * fleet.snapshotBytes() + 177 * (fleet.firstHostsBytes() + fleet.emptyResponseBytes()));
}

// Guards against a fleet that outgrows the time for one copy: copies that are begun anew would load the link again.
TEST_CASE("after a restart of 1,000 hosts the bytes over the link still are those of a few tables")
{
    FleetSimulation fleet({ .hosts = 1000, .seed = GENERATE(1U, 4U) });
    fleet.startAll();
    REQUIRE(fleet.timeUntilInformed(0.9, 20s));
    CHECK(fleet.regionLinkBytes()
        <= 3 * fleet.snapshotBytes() + 500 * (fleet.firstHostsBytes() + fleet.emptyResponseBytes()));
}

// Replays the first start of a deployment, when there is nobody to copy from. A naive host reads both tables, watches
// both at the store while it knows no relay, and writes its row: 5 requests and more.
TEST_CASE("at its first start a fleet is informed soon, with few requests for each host")
{
    FleetSimulation fleet({ .hosts = GENERATE(1U, 2U, 30U, 354U), .isFirstStart = true });
    fleet.startAll();
    const auto time = fleet.timeUntilInformed(1.0, 10s);
    REQUIRE(time);
    CHECK(time->count() <= 5000); // half of the time until the first traffic
    // The first rows, its own row, the list of hosts; the tables that the first hosts read, and the first watches.
    CHECK(fleet.storeRequests() <= 3 * fleet.hostCount() + 60);
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
    // The first rows and the changes since the copy for each started host, and the relays' polls and reads.
    CHECK(fleet.storeRequests() - requestsBefore <= 2 * 176 + 60);
}

// Guards against a target that is in use again: its host's daemon acknowledged the drain, was killed and started again,
// and copied a list of hosts in which the row had not changed yet.
TEST_CASE("a daemon that is started again knows the newest row of its own host")
{
    FleetSimulation fleet({ .hosts = 354, .startSpread = 0ms });
    fleet.startAll();
    fleet.runFor(6s);
    for (std::size_t host = 100; host < 120; ++host) {
        fleet.setState(host + 100, HostRecord::State::Draining); // relays then pause to batch changes
        fleet.runFor(50ms);
        fleet.setState(host, HostRecord::State::Draining);
        fleet.runFor(10ms);
        fleet.stop([host](std::size_t index) { return index == host; });
        fleet.startAll();
        fleet.runFor(1500ms);
        CHECK(fleet.stateAtStart(host) == HostRecord::State::Draining);
    }
}

// Replays an outage: hosts that had their rows from relays must not all ask a store that doesn't respond.
TEST_CASE("while the store is away only relays keep asking for it, and all hosts are informed soon after its return")
{
    FleetSimulation fleet({ .hosts = 354, .seed = GENERATE(1U, 2U, 3U) });
    fleet.startAll();
    fleet.runFor(6s);
    const auto requestsBefore = fleet.storeRequests();
    fleet.setStoreServes([](std::size_t) { return false; });
    fleet.runFor(6s); // longer than rows stay fresh
    const auto requests = fleet.storeRequests() - requestsBefore;
    CHECK(fleet.informedShare(0) == 0);
    fleet.setStoreServes([](std::size_t) { return true; });
    const auto time = fleet.timeUntilInformed(1.0, 10s);
    REQUIRE(time);
    CHECK(time->count() <= 1500);
    // A naive fleet asks for two tables twice a second: 354 * 2 * 2 * 6 = 8496 requests.
    CHECK(requests <= 1500);
}

TEST_CASE("hosts that the store doesn't serve stay informed through the others")
{
    FleetSimulation fleet({ .hosts = 354, .seed = GENERATE(1U, 2U, 3U) });
    fleet.startAll();
    fleet.runFor(6s);
    const auto requestsBefore = fleet.storeRequests();
    fleet.setStoreServes([](std::size_t host) { return host * 7 % 20 >= 7; });
    double lowest = 1;
    for (int i = 0; i < 90; ++i) {
        fleet.runFor(100ms);
        lowest = std::min({ lowest, fleet.informedShare(0), fleet.informedShare(1) });
    }
    CHECK(lowest >= 0.95);
    fleet.configure();
    const auto time = fleet.timeUntilInformed(1.0, 5s);
    REQUIRE(time);
    CHECK(time->count() <= 2500);
    INFO("store requests " << fleet.storeRequests() - requestsBefore);
    CHECK(fleet.storeRequests() - requestsBefore <= 1000);
}

TEST_CASE("in a quiet fleet one relay of each region polls the store")
{
    FleetSimulation fleet({ .hosts = 354, .seed = GENERATE(1U, 2U, 3U) });
    fleet.startAll();
    fleet.runFor(8s);
    const auto requestsBefore = fleet.storeRequests();
    fleet.runFor(12s);
    CHECK(fleet.informedShare(0) == 1);
    CHECK(fleet.informedShare(1) == 1);
    // Two relays, each with 10 polls for the configuration and one for the hosts, and as many for chance.
    CHECK(fleet.storeRequests() - requestsBefore <= 44);
}

// The strictest platform wants a configuration in force 2.5 s after the store confirmed it; half of that is for this
// way, the rest for requests that are under way. A naive tree of one level grows with the number of hosts.
TEST_CASE("a new configuration reaches all hosts of fleets of any size in half of the time that it may take")
{
    FleetSimulation fleet({ .hosts = GENERATE(16U, 100U, 354U, 1000U) });
    fleet.startAll();
    fleet.runFor(8s);
    fleet.configure();
    const auto time = fleet.timeUntilInformed(1.0, 5s);
    REQUIRE(time);
    CHECK(time->count() <= 1250);
}

// Guards against a chain of relays that keeps its hosts waiting when its first link is silent.
TEST_CASE("a new configuration reaches all other hosts although the relays that watch the store have stopped")
{
    FleetSimulation fleet({ .hosts = 354, .seed = GENERATE(1U, 2U, 3U) });
    fleet.startAll();
    fleet.runFor(8s);
    const auto polling = fleet.hostsWatchingConfiguration();
    CHECK(polling.size() <= 2); // one of each region
    fleet.stop([&polling](std::size_t host) { return polling.contains(host); });
    fleet.configure();
    const auto time = fleet.timeUntilInformed(0.98, 5s);
    REQUIRE(time);
    CHECK(time->count() <= 2500);
}

// Guards against a flood at a store that has just come back, and against hosts that watch on from a version that it
// gave out again. A naive host reads both tables from the store once it notices.
TEST_CASE("after the store came back from an older copy all hosts are informed soon, with few requests to it")
{
    FleetSimulation fleet({ .hosts = GENERATE(3U, 354U), .seed = GENERATE(1U, 2U) });
    fleet.startAll();
    REQUIRE(fleet.timeUntilInformed(1.0, 20s));
    fleet.runFor(5s);
    fleet.keepCopy();
    fleet.runFor(1s);
    fleet.configure();
    fleet.runFor(3s);
    const auto requestsBefore = fleet.storeRequests();
    const auto bytesBefore = fleet.regionLinkBytes();
    fleet.restoreStore();
    const bool writesAtOnce = GENERATE(true, false); // under the version that was lost
    if (!writesAtOnce)
        fleet.runFor(3s);
    fleet.configure();
    const auto time = fleet.timeUntilInformed(1.0, 10s);
    const auto requests = fleet.storeRequests() - requestsBefore;
    const auto bytes = fleet.regionLinkBytes() - bytesBefore;
    CAPTURE(writesAtOnce, requests, bytes, fleet.snapshotBytes());
    REQUIRE(time);
    CHECK(time->count() <= 2500);
    CHECK(requests <= fleet.hostCount() / 4 + 60);
    CHECK(bytes <= 10 * fleet.snapshotBytes()); // a naive far region takes 177
}

} // namespace coriandergate::fleet
