#include "fleet/HostDirectory.h"

#include "fleet/StoreVersion.h"

#include <catch2/catch.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

namespace {

    auto makeRecord(HostRecord::State state) -> HostRecord
    {
        HostRecord record { .peerAddress = "10.1.0.1:8366", .locality = { "west", "west-a" }, .service = "ledger" };
        record.targetId = "i-1";
        record.state = state;
        return record;
    }

} // namespace

// Guards against departed hosts that keep their share of the limits or receive requests, and rows that are never
// removed.
TEST_CASE("a departed host is in no list of hosts, and its row expires")
{
    HostDirectory directory;
    const auto departed = makeDeparted(makeRecord(HostRecord::State::Draining), 60s);
    directory.apply({ { "west/a", encodeHostRecord(makeRecord(HostRecord::State::Serving)), 1, false },
                        { "west/b", encodeHostRecord(departed), 2, false } },
        true);
    CHECK(directory.size() == 1);
    REQUIRE(directory.targets().size() == 1);
    CHECK(directory.targets().front().hostKey == "west/a");
    CHECK(directory.targets().front().targetId == "i-1");
    CHECK(directory.hostsInRegion("west") == std::vector<std::string> { "west/a" });
    CHECK(directory.hostsInDataCentre({ "west", "west-a" }) == std::vector<std::string> { "west/a" });
    CHECK(directory.rateLimitHostsInRegion("west").size() == 1);
    CHECK_FALSE(directory.find("west/b"));
    REQUIRE(directory.findDeparted("west/b"));
    CHECK(*directory.findDeparted("west/b") == departed);
    CHECK(directory.version("west/b") == 2);
    CHECK(directory.hostsDepartedBefore("west", 60s).empty());
    CHECK(directory.hostsDepartedBefore("east", 61s).empty());
    CHECK(directory.hostsDepartedBefore("west", 61s) == std::vector<std::string> { "west/b" });

    SECTION("its row is removed")
    {
        directory.apply({ { "west/b", "", 3, true } }, false);
        CHECK_FALSE(directory.findDeparted("west/b"));
        CHECK(directory.version("west/b") == 0);
    }
    SECTION("its daemon comes back")
    {
        directory.apply({ { "west/b", encodeHostRecord(makeRecord(HostRecord::State::Draining)), 3, false } }, false);
        CHECK_FALSE(directory.findDeparted("west/b"));
        CHECK(directory.find("west/b"));
        CHECK(directory.size() == 2);
    }
}

// Guards against a target that is in use again: the store came back from a copy that is older than the row with the
// drain.
TEST_CASE("a target known to drain stays draining when a restored store says that it serves")
{
    HostDirectory directory;
    const auto known = GENERATE(HostRecord::State::Draining, HostRecord::State::Departed);
    directory.apply(
        { { "west/a", encodeHostRecord(makeRecord(known)), makeVersion(0, 40), false },
            { "west/b", encodeHostRecord(makeRecord(HostRecord::State::Serving)), makeVersion(0, 39), false } },
        true);
    CHECK(directory.hostsWithLostDrain().empty());
    const auto serving = encodeHostRecord(makeRecord(HostRecord::State::Serving));
    directory.apply(
        { { "west/a", serving, makeVersion(1, 7), false }, { "west/b", serving, makeVersion(1, 8), false } }, true);
    CHECK(directory.hostsWithLostDrain() == std::set<std::string> { "west/a" });
    CHECK(directory.find("west/a")->state == HostRecord::State::Draining);
    CHECK(directory.find("west/b")->state == HostRecord::State::Serving);
    CHECK(directory.version("west/a") == makeVersion(1, 7));

    SECTION("the drain is written again")
    {
        const auto draining = encodeHostRecord(makeRecord(HostRecord::State::Draining));
        directory.apply({ { "west/a", draining, makeVersion(1, 9), false } }, false);
        CHECK(directory.hostsWithLostDrain().empty());
        CHECK(directory.find("west/a")->state == HostRecord::State::Draining);
    }
    SECTION("the host's next target serves")
    {
        auto next = makeRecord(HostRecord::State::Serving);
        next.targetStartedAt = 200;
        directory.apply({ { "west/a", encodeHostRecord(next), makeVersion(1, 9), false } }, false);
        CHECK(directory.hostsWithLostDrain().empty());
        CHECK(directory.find("west/a")->state == HostRecord::State::Serving);
    }
}

} // namespace coriandergate::fleet
