#include "seat/SeatLeaseGrantor.h"
#include "seat/SeatMessage.h"
#include "seat/SeatPlanner.h"

#include <catch2/catch.hpp>

using namespace coriandergate;
using namespace coriandergate::seat;
using namespace std::chrono_literals;

namespace {

auto fleet(std::size_t count) -> std::vector<LiveDaemon>
{
    std::vector<LiveDaemon> daemons;
    for (std::size_t i = 0; i < count; ++i)
        daemons.push_back(
            { { "d" + std::to_string(i), 1 }, { "r" + std::to_string(i % 2), "c" + std::to_string(i % 6) }, false });
    return daemons;
}

} // namespace

TEST_CASE("a plan spreads seats, keeps guards in the region and apart, and needs no change")
{
    const auto daemons = fleet(24);
    const auto map = planSeatMap({ {}, daemons, {}, {} }, { 48, 3 });
    REQUIRE(map);
    std::map<DaemonIdentity, int> held;
    for (const auto& seat : map->seats) {
        ++held[seat.holder];
        REQUIRE(seat.grantors.size() == 3);
        const auto number = [](const DaemonIdentity& daemon) { return std::stoi(daemon.address.substr(1)); };
        for (const auto& guard : seat.grantors)
            CHECK(number(guard) % 2 == number(seat.holder) % 2);
    }
    for (const auto& [daemon, count] : held)
        CHECK(count == 2);
    CHECK_FALSE(planSeatMap({ *map, daemons, {}, {} }, { 48, 3 }));
}

TEST_CASE("when a daemon goes, only its seats and duties move, its first guard succeeds, and earlier epochs are kept")
{
    auto daemons = fleet(24);
    const auto map = *planSeatMap({ {}, daemons, {}, {} }, { 48, 3 });
    const auto gone = daemons[5].identity;
    daemons[5].identity.incarnation = 2; // restarted: the run before has ended for certain
    const auto next = planSeatMap({ map, daemons, {}, {} }, { 48, 3 });
    REQUIRE(next);
    for (std::size_t i = 0; i < map.seats.size(); ++i) {
        const auto& before = map.seats[i];
        const auto& after = next->seats[i];
        if (!before.rankOf(gone)) {
            CHECK(after == before);
            continue;
        }
        CHECK(after.epoch == next->epoch);
        CHECK(after.holder == (before.holder == gone ? before.grantors.front() : before.holder));
        REQUIRE(after.formerEpochs.size() == 1);
        CHECK(after.formerEpochs.front().grantors == before.grantors);
        CHECK(after.formerEpochs.front().terminatedGrantors.size() == (before.holder == gone ? 0 : 1));
    }
    Error reason;
    CHECK(decodeSeatMap(encodeSeatMap(*next), reason) == next);
    std::map<std::uint32_t, std::uint64_t> started;
    for (std::uint32_t i = 0; i < next->seats.size(); ++i)
        started[i] = next->seats[i].epoch;
    const auto settled = planSeatMap({ *next, daemons, started, {} }, { 48, 3 });
    REQUIRE(settled);
    for (const auto& seat : settled->seats)
        CHECK(seat.formerEpochs.empty());
}

TEST_CASE("a guard that promised leases to no earlier rank, and promises nothing while a holder is heard")
{
    const DaemonIdentity holder { "h", 1 };
    const DaemonIdentity guard { "g", 1 };
    const DaemonIdentity other { "o", 1 };
    SeatLeaseGrantor ledger(guard, {});
    const MonotonicTime start { 1h };
    ledger.adopt({ 1, { { 1, holder, { other, guard }, {} } } }, start);
    CHECK(ledger.handle(LeaseRequest { holder, guard, 0, { 1, 0 }, 1, 0 }, start).isGranted);
    CHECK_FALSE(ledger.handle(LeaseRequest { holder, { "g", 2 }, 0, { 1, 0 }, 2, 1 }, start).isGranted);
    CHECK_FALSE(ledger.handle(PrepareRequest { other, guard, 0, 1, 1 }, start + 1s).isGiven);
    // The holder asks on but hears no answer: after a lease's length it counts as gone.
    CHECK(ledger.handle(LeaseRequest { holder, guard, 0, { 1, 0 }, 3, 0 }, start + 1500ms).isGranted);
    const auto promise = ledger.handle(PrepareRequest { other, guard, 0, 1, 1 }, start + 2100ms);
    CHECK(promise.isGiven);
    CHECK(promise.remaining == 1400ms);
    CHECK_FALSE(ledger.handle(LeaseRequest { holder, guard, 0, { 1, 0 }, 4, 3 }, start + 2200ms).isGranted);
    CHECK(ledger.handle(PrepareRequest { other, guard, 0, 1, closedRank }, start + 2300ms).isGiven);
    CHECK_FALSE(ledger.handle(LeaseRequest { other, guard, 0, { 1, 1 }, 1, 0 }, start + 9s).isGranted);
}

TEST_CASE("messages about seats survive their encoding, and malformed ones are refused")
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
