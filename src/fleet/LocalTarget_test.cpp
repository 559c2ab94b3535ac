#include "fleet/LocalTarget.h"

#include "base/Error.h"

#include <catch2/catch.hpp>

namespace coriandergate::fleet {

namespace {

    using HeartbeatResult = LocalTarget::HeartbeatResult;
    using Departure = LocalTarget::Departure;

    auto heartbeat(std::uint64_t startedAt, std::uint64_t sequence) -> Heartbeat
    {
        return { .id = "i-1",
            .service = "ledger",
            .address = "10.1.0.11:8363",
            .startedAt = startedAt,
            .sequence = sequence,
            .slots = 5 };
    }

    auto makeTarget() -> LocalTarget { return { "ledger", "10.1.0.11:8363" }; }

} // namespace

TEST_CASE("a heartbeat makes the target known, and its next one changes nothing")
{
    auto target = makeTarget();
    Error reason;
    CHECK(target.receive(heartbeat(100, 1), reason) == HeartbeatResult::Changed);
    CHECK(target.receive(heartbeat(100, 2), reason) == HeartbeatResult::Unchanged);
    CHECK(target.isServing());
}

TEST_CASE("heartbeats that were overtaken, or of an incarnation that has ended, are left aside")
{
    auto target = makeTarget();
    Error reason;
    CHECK(target.receive(heartbeat(200, 5), reason) == HeartbeatResult::Changed);
    CHECK(target.receive(heartbeat(200, 5), reason) == HeartbeatResult::Stale);
    CHECK(target.receive(heartbeat(200, 4), reason) == HeartbeatResult::Stale);
    CHECK(target.receive(heartbeat(100, 9), reason) == HeartbeatResult::Stale);
    CHECK(target.current()->startedAt == 200);
}

TEST_CASE("another incarnation under the same id begins anew")
{
    auto target = makeTarget();
    Error reason;
    auto leaving = heartbeat(100, 7);
    leaving.isDraining = true;
    CHECK(target.receive(leaving, reason) == HeartbeatResult::Changed);
    CHECK(target.receive(heartbeat(300, 1), reason) == HeartbeatResult::Changed);
    CHECK(target.isServing());
}

TEST_CASE("leaving is never taken back within an incarnation")
{
    auto target = makeTarget();
    Error reason;
    CHECK(target.receive(heartbeat(100, 1), reason) == HeartbeatResult::Changed);
    CHECK(target.leave("i-1", 100) == Departure::Current);
    CHECK(target.receive(heartbeat(100, 2), reason) == HeartbeatResult::Unchanged);
    CHECK_FALSE(target.isServing());
}

// Found on a hunted day: a daemon that had just been started confirmed a farewell and then sent requests to the target,
// since a heartbeat from before came after it.
TEST_CASE("a farewell before any heartbeat is remembered")
{
    auto target = makeTarget();
    Error reason;
    CHECK(target.leave("i-1", 100) == Departure::NotSeen);
    CHECK(target.receive(heartbeat(100, 26), reason) == HeartbeatResult::Changed);
    CHECK_FALSE(target.isServing());
}

// Found on hunted days: a farewell doesn't tell the target's start, and a heartbeat that came late undid it.
TEST_CASE("a farewell without a start is remembered for the incarnation that the fleet knew")
{
    auto target = makeTarget();
    Error reason;
    const bool isRecalled = GENERATE(true, false);
    if (isRecalled)
        target.recall("i-1", 100, false);
    CHECK(target.leave("i-1", 0) == Departure::NotSeen);
    CHECK(target.receive(heartbeat(100, 19), reason) == HeartbeatResult::Changed);
    CHECK_FALSE(target.isServing());
    if (isRecalled) {
        CHECK(target.receive(heartbeat(200, 1), reason) == HeartbeatResult::Changed);
        CHECK(target.isServing());
    }
    auto other = heartbeat(300, 1);
    other.id = "i-2";
    CHECK(target.receive(other, reason) == HeartbeatResult::Changed);
    CHECK(target.isServing());
}

TEST_CASE("a farewell of an earlier target doesn't make the present one leave")
{
    auto target = makeTarget();
    Error reason;
    CHECK(target.receive(heartbeat(300, 1), reason) == HeartbeatResult::Changed);
    CHECK(target.leave("i-0", 100) == Departure::Other);
    CHECK(target.leave("i-1", 100) == Departure::Other);
    CHECK(target.isServing());
}

TEST_CASE("a farewell heard before the store's rows is kept once they are known")
{
    auto target = makeTarget();
    Error reason;
    CHECK(target.leave("i-1", 0) == Departure::NotSeen);
    const bool isOfLaterTarget = GENERATE(true, false);
    if (isOfLaterTarget)
        target.recall("i-2", 300, true);
    else
        target.recall("i-1", 100, false);
    CHECK(target.left()->id == "i-1");
    CHECK(target.receive(heartbeat(100, 19), reason) == HeartbeatResult::Changed);
    CHECK_FALSE(target.isServing());
}

TEST_CASE("what an earlier daemon of the host told of a leaving target is kept")
{
    auto target = makeTarget();
    Error reason;
    target.recall("i-1", 100, true);
    CHECK(target.receive(heartbeat(100, 3), reason) == HeartbeatResult::Changed);
    CHECK_FALSE(target.isServing());
    CHECK(target.receive(heartbeat(200, 1), reason) == HeartbeatResult::Changed);
    CHECK(target.isServing());
}

TEST_CASE("heartbeats of another service or address name no target of this host")
{
    auto target = makeTarget();
    Error reason;
    auto foreign = heartbeat(100, 1);
    foreign.service = "archive";
    CHECK(target.receive(foreign, reason) == HeartbeatResult::Foreign);
    CHECK(reason.reason == "the service isn't that of this host");
    foreign = heartbeat(100, 1);
    foreign.address = "10.1.0.12:8363";
    CHECK(target.receive(foreign, reason) == HeartbeatResult::Foreign);
    CHECK_FALSE(target.current());
}

} // namespace coriandergate::fleet
