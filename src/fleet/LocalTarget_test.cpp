#include "fleet/LocalTarget.h"

#include "base/Error.h"

#include <catch2/catch.hpp>

namespace coriandergate::fleet {

namespace {

    using HeartbeatResult = LocalTarget::HeartbeatResult;
    using DeregistrationResult = LocalTarget::DeregistrationResult;

    auto makeHeartbeat(std::uint64_t startedAt, std::uint64_t sequence) -> Heartbeat
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

TEST_CASE("the first heartbeat registers the target, and a repeated one changes nothing")
{
    auto target = makeTarget();
    Error reason;
    CHECK(target.receive(makeHeartbeat(100, 1), reason) == HeartbeatResult::Changed);
    CHECK(target.receive(makeHeartbeat(100, 2), reason) == HeartbeatResult::Unchanged);
    CHECK(target.isServing());
}

TEST_CASE("out-of-order heartbeats and heartbeats of an earlier incarnation are ignored")
{
    auto target = makeTarget();
    Error reason;
    CHECK(target.receive(makeHeartbeat(200, 5), reason) == HeartbeatResult::Changed);
    CHECK(target.receive(makeHeartbeat(200, 5), reason) == HeartbeatResult::Stale);
    CHECK(target.receive(makeHeartbeat(200, 4), reason) == HeartbeatResult::Stale);
    CHECK(target.receive(makeHeartbeat(100, 9), reason) == HeartbeatResult::Stale);
    CHECK(target.current()->startedAt == 200);
}

TEST_CASE("a new incarnation with the same id is serving although the previous one was draining")
{
    auto target = makeTarget();
    Error reason;
    auto draining = makeHeartbeat(100, 7);
    draining.isDraining = true;
    CHECK(target.receive(draining, reason) == HeartbeatResult::Changed);
    CHECK(target.receive(makeHeartbeat(300, 1), reason) == HeartbeatResult::Changed);
    CHECK(target.isServing());
}

TEST_CASE("an incarnation that deregistered stays draining")
{
    auto target = makeTarget();
    Error reason;
    CHECK(target.receive(makeHeartbeat(100, 1), reason) == HeartbeatResult::Changed);
    CHECK(target.deregister("i-1", 100) == DeregistrationResult::CurrentTarget);
    CHECK(target.receive(makeHeartbeat(100, 2), reason) == HeartbeatResult::Unchanged);
    CHECK_FALSE(target.isServing());
}

// Guards against a restarted daemon that acknowledges a deregistration and then sends requests to the target, because a
// heartbeat sent before the deregistration arrives after it.
TEST_CASE("a deregistration that arrives before the first heartbeat takes effect")
{
    auto target = makeTarget();
    Error reason;
    CHECK(target.deregister("i-1", 100) == DeregistrationResult::NoHeartbeatYet);
    CHECK(target.receive(makeHeartbeat(100, 26), reason) == HeartbeatResult::Changed);
    CHECK_FALSE(target.isServing());
}

// Guards against a late heartbeat that reverts a deregistration without a start time.
TEST_CASE("a deregistration without a start time applies to the stored incarnation")
{
    auto target = makeTarget();
    Error reason;
    const bool isTargetStored = GENERATE(true, false);
    if (isTargetStored)
        target.restoreFromStore("i-1", 100, false);
    CHECK(target.deregister("i-1", 0) == DeregistrationResult::NoHeartbeatYet);
    CHECK(target.receive(makeHeartbeat(100, 19), reason) == HeartbeatResult::Changed);
    CHECK_FALSE(target.isServing());
    if (isTargetStored) {
        CHECK(target.receive(makeHeartbeat(200, 1), reason) == HeartbeatResult::Changed);
        CHECK(target.isServing());
    }
    auto other = makeHeartbeat(300, 1);
    other.id = "i-2";
    CHECK(target.receive(other, reason) == HeartbeatResult::Changed);
    CHECK(target.isServing());
}

TEST_CASE("a deregistration of an earlier target doesn't drain the current one")
{
    auto target = makeTarget();
    Error reason;
    CHECK(target.receive(makeHeartbeat(300, 1), reason) == HeartbeatResult::Changed);
    CHECK(target.deregister("i-0", 100) == DeregistrationResult::OtherTarget);
    CHECK(target.deregister("i-1", 100) == DeregistrationResult::OtherTarget);
    CHECK(target.isServing());
}

TEST_CASE("a deregistration received before the stored row is loaded remains in effect")
{
    auto target = makeTarget();
    Error reason;
    CHECK(target.deregister("i-1", 0) == DeregistrationResult::NoHeartbeatYet);
    const bool isLaterTargetStored = GENERATE(true, false);
    if (isLaterTargetStored)
        target.restoreFromStore("i-2", 300, true);
    else
        target.restoreFromStore("i-1", 100, false);
    CHECK(target.deregistered()->id == "i-1");
    CHECK(target.receive(makeHeartbeat(100, 19), reason) == HeartbeatResult::Changed);
    CHECK_FALSE(target.isServing());
}

TEST_CASE("a target that was stored as draining stays draining after a daemon restart")
{
    auto target = makeTarget();
    Error reason;
    target.restoreFromStore("i-1", 100, true);
    CHECK(target.receive(makeHeartbeat(100, 3), reason) == HeartbeatResult::Changed);
    CHECK_FALSE(target.isServing());
    CHECK(target.receive(makeHeartbeat(200, 1), reason) == HeartbeatResult::Changed);
    CHECK(target.isServing());
}

TEST_CASE("heartbeats for another service or address are rejected")
{
    auto target = makeTarget();
    Error reason;
    auto rejected = makeHeartbeat(100, 1);
    rejected.service = "archive";
    CHECK(target.receive(rejected, reason) == HeartbeatResult::Rejected);
    CHECK(reason.reason == "the service differs from this host's service");
    rejected = makeHeartbeat(100, 1);
    rejected.address = "10.1.0.12:8363";
    CHECK(target.receive(rejected, reason) == HeartbeatResult::Rejected);
    CHECK_FALSE(target.current());
}

} // namespace coriandergate::fleet
