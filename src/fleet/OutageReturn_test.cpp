// Guards against hosts that go by an older configuration for too long after the store came back from an outage, because
// relays that lost the store wait for news at each other.
#include "testing/FleetSimulation.h"
#include "testing/StoreOutage.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

using std::chrono::milliseconds;
using testing::beginOutage;
using testing::drawDuration;
using testing::endOutage;
using testing::FleetSimulation;

namespace {

    using Random = std::mt19937_64;

    // What the platform asks for: a configuration is in force everywhere so long after its acknowledgement, on hosts
    // that have had a calm store for so long.
    constexpr milliseconds configurationBound { 2500 };
    constexpr milliseconds calmTime { 3000 };

    // Some of the hosts that the others get their rows from, or any, end for good.
    auto stopSome(FleetSimulation& fleet, Random& random) -> void
    {
        auto stopped = fleet.hostsWatchingConfiguration();
        for (int i = 0; i < 2; ++i)
            stopped.insert(random() % fleet.hostCount());
        if (random() % 2 == 0 && !stopped.empty())
            stopped.erase(stopped.begin());
        fleet.stop([&stopped](std::size_t host) { return stopped.contains(host); });
    }

} // namespace

TEST_CASE("after an outage of the store a new configuration is in force everywhere in time")
{
    const unsigned seed = GENERATE(range(1U, 301U));
    Random random(seed);
    const std::size_t sizes[] = { 4, 6, 10, 12, 14, 24, 60 };
    const auto hosts = sizes[random() % std::size(sizes)];
    FleetSimulation fleet({ .hosts = hosts, .dataCentresPerRegion = 1 + random() % 2, .seed = seed });
    fleet.startAll();
    fleet.runFor(8s + drawDuration(random, 0ms, 2000ms));
    constexpr int outages = 8;
    for (int outage = 0; outage < outages; ++outage) {
        CAPTURE(seed, hosts, outage);
        beginOutage(fleet, random);
        const auto length = drawDuration(random, 500ms, 6000ms);
        const bool losesHosts = hosts > 8 && outage == outages - 1;
        if (losesHosts) {
            const auto before = drawDuration(random, 0ms, length);
            fleet.runFor(before);
            stopSome(fleet, random);
            fleet.runFor(length - before);
        } else {
            fleet.runFor(length);
        }
        endOutage(fleet);
        const auto pause = drawDuration(random, 0ms, 1000ms);
        fleet.runFor(pause);
        fleet.configure();
        fleet.runFor(std::max(configurationBound, calmTime - pause));
        CAPTURE(length.count(), pause.count(), losesHosts);
        CHECK(fleet.uninformedHosts() == 0);
        fleet.runFor(drawDuration(random, 1000ms, 5000ms));
    }
}

} // namespace coriandergate::fleet
