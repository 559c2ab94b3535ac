#include "seat/SeatLeaseGrantor.h"
#include "seat/SeatMessage.h"
#include "seat/SeatPlanner.h"

#include <catch2/catch.hpp>

using namespace coriandergate;
using namespace coriandergate::seat;
using namespace std::chrono_literals;

namespace {

auto makeLiveDaemons(std::size_t count) -> std::vector<LiveDaemon>
{
    std::vector<LiveDaemon> daemons;
    for (std::size_t i = 0; i < count; ++i)
        daemons.push_back(
            { { "d" + std::to_string(i), 1 }, { "r" + std::to_string(i % 2), "c" + std::to_string(i % 6) }, false });
    return daemons;
}

} // namespace

TEST_CASE("planSeatMap balances seats, keeps grantors in the holder's region and leaves its own map unchanged")
{
    const auto daemons = makeLiveDaemons(24);
    const auto map = planSeatMap({ {}, daemons, {}, {} }, { 48, 3 });
    REQUIRE(map);
    std::map<DaemonIdentity, int> heldSeatCounts;
    for (const auto& seat : map->seats) {
        ++heldSeatCounts[seat.holder];
        REQUIRE(seat.grantors.size() == 3);
        const auto daemonNumber = [](const DaemonIdentity& daemon) { return std::stoi(daemon.address.substr(1)); };
        for (const auto& grantor : seat.grantors)
            CHECK(daemonNumber(grantor) % 2 == daemonNumber(seat.holder) % 2);
    }
    for (const auto& [daemon, count] : heldSeatCounts)
        CHECK(count == 2);
    CHECK_FALSE(planSeatMap({ *map, daemons, {}, {} }, { 48, 3 }));
}

TEST_CASE("after a daemon restarts, only its seats change, the first grantor takes over and former epochs are kept")
{
    auto daemons = makeLiveDaemons(24);
    const auto map = *planSeatMap({ {}, daemons, {}, {} }, { 48, 3 });
    const auto oldIdentity = daemons[5].identity;
    daemons[5].identity.incarnation = 2; // a new process, so the earlier process has certainly ended
    const auto next = planSeatMap({ map, daemons, {}, {} }, { 48, 3 });
    REQUIRE(next);
    for (std::size_t i = 0; i < map.seats.size(); ++i) {
        const auto& before = map.seats[i];
        const auto& after = next->seats[i];
        if (!before.rankOf(oldIdentity)) {
            CHECK(after == before);
            continue;
        }
        CHECK(after.epoch == next->epoch);
        CHECK(after.holder == (before.holder == oldIdentity ? before.grantors.front() : before.holder));
        REQUIRE(after.formerEpochs.size() == 1);
        CHECK(after.formerEpochs.front().grantors == before.grantors);
        CHECK(after.formerEpochs.front().terminatedGrantors.size() == (before.holder == oldIdentity ? 0 : 1));
    }
    Error reason;
    CHECK(decodeSeatMap(encodeSeatMap(*next), reason) == next);
    std::map<std::uint32_t, std::uint64_t> leasedEpochs;
    for (std::uint32_t i = 0; i < next->seats.size(); ++i)
        leasedEpochs[i] = next->seats[i].epoch;
    const auto withoutFormerEpochs = planSeatMap({ *next, daemons, leasedEpochs, {} }, { 48, 3 });
    REQUIRE(withoutFormerEpochs);
    for (const auto& seat : withoutFormerEpochs->seats)
        CHECK(seat.formerEpochs.empty());
}

TEST_CASE("a grantor keeps its promises and makes none while the holder acknowledges its responses")
{
    const DaemonIdentity holder { "h", 1 };
    const DaemonIdentity grantor { "g", 1 };
    const DaemonIdentity successor { "o", 1 };
    SeatLeaseGrantor leaseGrantor(grantor, {});
    const MonotonicTime start { 1h };
    leaseGrantor.adopt({ 1, { { 1, holder, { successor, grantor }, {} } } }, start);
    CHECK(leaseGrantor.handle(LeaseRequest { holder, grantor, 0, { 1, 0 }, 1, 0 }, start).isGranted);
    CHECK_FALSE(leaseGrantor.handle(LeaseRequest { holder, { "g", 2 }, 0, { 1, 0 }, 2, 1 }, start).isGranted);
    CHECK_FALSE(leaseGrantor.handle(PrepareRequest { successor, grantor, 0, 1, 1 }, start + 1s).isPromised);
    // The holder keeps sending requests but acknowledges no response. After one lease duration it counts as failed.
    CHECK(leaseGrantor.handle(LeaseRequest { holder, grantor, 0, { 1, 0 }, 3, 0 }, start + 1500ms).isGranted);
    const auto response = leaseGrantor.handle(PrepareRequest { successor, grantor, 0, 1, 1 }, start + 2100ms);
    CHECK(response.isPromised);
    CHECK(response.remainingLease == 1400ms);
    CHECK_FALSE(leaseGrantor.handle(LeaseRequest { holder, grantor, 0, { 1, 0 }, 4, 3 }, start + 2200ms).isGranted);
    CHECK(leaseGrantor.handle(PrepareRequest { successor, grantor, 0, 1, closedRank }, start + 2300ms).isPromised);
    CHECK_FALSE(leaseGrantor.handle(LeaseRequest { successor, grantor, 0, { 1, 1 }, 1, 0 }, start + 9s).isGranted);
}

TEST_CASE("seat messages survive encoding and decoding, and malformed ones are rejected")
{
    const DaemonIdentity a { "a:1", 1 };
    const DaemonIdentity b { "b:1", 2 };
    const SeatMessage messages[] = { LeaseRequest { a, b, 1, { 2, 3 }, 4, 5 },
        LeaseResponse { a, b, 1, { 2, 3 }, 4, true, 2000ms, closedRank }, PrepareRequest { a, b, 1, 2, 3 },
        PrepareResponse { a, b, 1, 2, 3, true, 17ms }, LeaseRelease { a, b, 1, { 2, 3 } } };
    Error reason;
    for (const auto& message : messages) {
        const auto decoded = decodeSeatMessage(encodeSeatMessage(message), reason);
        REQUIRE(decoded);
        CHECK(encodeSeatMessage(*decoded) == encodeSeatMessage(message));
        CHECK(recipientOf(*decoded) == recipientOf(message));
    }
    for (const auto* text : { "", "[]", R"(["other",["a",1],["b",2],1,2,3])", R"(["promise",["a",1],["b",2],1,2,3])" })
        CHECK_FALSE(decodeSeatMessage(text, reason));
}
