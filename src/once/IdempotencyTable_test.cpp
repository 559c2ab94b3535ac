#include "once/AttemptTable.h"
#include "once/IdempotencyTable.h"
#include "once/WitnessSelection.h"
#include "once/WitnessTable.h"

#include <catch2/catch.hpp>

using namespace coriandergate;
using namespace coriandergate::once;
using namespace std::chrono_literals;

namespace {

const MonotonicTime start = MonotonicTime(100h);
const DaemonIdentity owner { "10.0.0.1:7101", 1 };
const DaemonIdentity other { "10.0.0.2:7101", 2 };
const DaemonIdentity former { "10.0.0.9:7101", 9 };

struct TableFixture {
    explicit TableFixture(IdempotencyTable::Options options = { .seatCount = 1 })
        : table(options)
    {
        table.openSeat(lease, {}, {}, start);
    }

    auto requestPermit(IdempotencyKey key, std::uint64_t number, MonotonicTime now = start,
        std::uint64_t fingerprint = 7) -> PermitResponse
    {
        return table.requestPermit({ key, { 5, number }, owner, fingerprint }, lease, now);
    }

    SeatLease lease { 0, 1, start + 3h, start, {}, {} };
    IdempotencyTable table;
};

template <typename T> auto is(const PermitResponse& response) -> bool { return std::holds_alternative<T>(response); }

} // namespace

TEST_CASE("one attempt per key gets permits, another one only after the first was not run or after the retention")
{
    TableFixture f;
    CHECK(is<Permit>(f.requestPermit({ 1, 1 }, 1)));
    CHECK(is<Permit>(f.requestPermit({ 1, 1 }, 1)));
    CHECK(std::get<InProgress>(f.requestPermit({ 1, 1 }, 2)).attempt == AttemptId { 5, 1 });
    CHECK(is<FingerprintMismatch>(f.requestPermit({ 1, 1 }, 2, start, 8)));
    f.table.recordOutcome({ 1, 1 }, { 5, 2 }, NotRun {}, start); // of an attempt that wasn't granted
    CHECK(is<InProgress>(f.requestPermit({ 1, 1 }, 2)));
    f.table.recordOutcome({ 1, 1 }, { 5, 1 }, NotRun {}, start);
    CHECK(is<Permit>(f.requestPermit({ 1, 1 }, 2)));
    f.table.recordOutcome({ 1, 1 }, { 5, 2 }, Ran { 201, StoredResponse { "text/plain", "done" } }, start);
    f.table.recordOutcome({ 1, 1 }, { 5, 2 }, NotRun {}, start); // late, and contradicts Ran
    CHECK(std::get<AlreadyRan>(f.requestPermit({ 1, 1 }, 3)).outcome.response->body == "done");
    f.table.recordOutcome({ 1, 1 }, { 5, 2 }, Ran { 201, {} }, start);
    CHECK(std::get<AlreadyRan>(f.requestPermit({ 1, 1 }, 3)).outcome.response->body == "done");
    CHECK(f.table.keyCount() == 1);
    CHECK(is<Permit>(f.requestPermit({ 1, 1 }, 4, start + 1h)));
}

TEST_CASE("an attempt of a lost owner has an unknown outcome until the owner reports it after all")
{
    TableFixture f;
    CHECK(is<Permit>(f.requestPermit({ 1, 1 }, 1)));
    f.table.markDaemonLost({ owner, "a", start });
    CHECK(is<OutcomeUnknown>(f.requestPermit({ 1, 1 }, 2)));
    f.table.recordOutcome({ 1, 1 }, { 5, 1 }, Ran { 200, {} }, start);
    CHECK(is<AlreadyRan>(f.requestPermit({ 1, 1 }, 2)));
}

TEST_CASE("a full table refuses new keys and removes none before the retention, and a permit ends with the lease")
{
    TableFixture f({ .seatCount = 1, .maximumKeys = 2, .maximumResponseBytes = 4 });
    CHECK(is<Permit>(f.requestPermit({ 1, 1 }, 1)));
    f.table.recordOutcome({ 1, 1 }, { 5, 1 }, Ran { 201, StoredResponse { "", "too long" } }, start);
    CHECK_FALSE(std::get<AlreadyRan>(f.requestPermit({ 1, 1 }, 2)).outcome.response);
    CHECK(is<Permit>(f.requestPermit({ 2, 2 }, 2, start + 10min)));
    const auto refused = std::get<PermitRefused>(f.requestPermit({ 3, 3 }, 3, start + 20min));
    CHECK(refused.reason == PermitRefused::Reason::TableFull);
    CHECK(refused.retryAfter == 40min);
    f.lease.validUntil = start + 1h + 1s;
    CHECK(std::get<Permit>(f.requestPermit({ 3, 3 }, 3, start + 1h)).lifetime < 1s);
    CHECK(is<PermitRefused>(f.requestPermit({ 4, 4 }, 4, start + 1h + 1s)));
}

TEST_CASE("a seat under rebuild grants no permit before all members have reported, and adopts their records")
{
    IdempotencyTable table({ .seatCount = 1 });
    const SeatLease lease { 0, 4, start + 1h, start, former, 2h };
    table.openSeat(lease, { { owner, "a" }, { other, "b" } }, { { former, "c", start } }, start);
    const PermitRequest request { { 1, 1 }, { 5, 3 }, owner, 7 };
    CHECK(table.missingReports(0).size() == 2);
    CHECK(is<PermitRefused>(table.requestPermit(request, lease, start)));
    const auto record = [&](std::uint64_t number, AttemptOutcome outcome) {
        return AttemptRecord { { 1, 1 }, { 5, number }, owner, 7, 3, std::move(outcome), start - 1min };
    };
    // Both reporters started long before the retention.
    const RebuildReport fromOwner { owner, start - 9h, { record(1, Running {}) }, {}, {} };
    const RebuildReport fromOther { other, start - 9h, { record(2, Running {}) }, {}, {} };
    table.addReport(0, 4, fromOwner, start);
    table.addReport(0, 3, fromOther, start); // of another epoch
    CHECK(is<PermitRefused>(table.requestPermit(request, lease, start)));
    table.addReport(0, 4, fromOther, start);
    table.addReport(0, 4, fromOther, start);
    CHECK(is<InProgress>(table.requestPermit(request, lease, start)));
    table.recordOutcome({ 1, 1 }, { 5, 1 }, NotRun {}, start);
    CHECK(is<InProgress>(table.requestPermit(request, lease, start))); // the other attempt may still be running
    table.recordOutcome({ 1, 1 }, { 5, 2 }, NotRun {}, start);
    CHECK(is<Permit>(table.requestPermit(request, lease, start)));
}

TEST_CASE("a holder needs a rebuild for a new epoch only if its lease had expired in between")
{
    TableFixture f;
    CHECK(is<Permit>(f.requestPermit({ 1, 1 }, 1)));
    f.lease.epoch = 2; // the seat's grantors change, the holder stays
    f.lease.heldSince = start + 3h; // when the previous lease expired
    f.lease.validUntil = start + 4h;
    f.lease.formerHolder = former;
    CHECK(is<Permit>(f.requestPermit({ 1, 1 }, 1, start + 10min)));
    f.lease.epoch = 3;
    f.lease.heldSince = start + 5h;
    f.lease.validUntil = start + 6h;
    CHECK(is<PermitRefused>(f.requestPermit({ 2, 2 }, 2, start + 5h)));
    f.table.openSeat(f.lease, { { owner, "a" } }, {}, start + 5h);
    CHECK(is<PermitRefused>(f.requestPermit({ 2, 2 }, 2, start + 5h)));
    f.table.addReport(0, 3, { owner, start, {}, {}, {} }, start + 5h);
    CHECK(is<Permit>(f.requestPermit({ 2, 2 }, 2, start + 5h)));
}

TEST_CASE("records may be missing only after the loss of two daemons in different data centres, for a bounded time")
{
    struct Row {
        std::vector<LostDaemon> lost;
        std::vector<DaemonIdentity> takenOverFrom;
        MonotonicDuration formerHoldDuration;
        bool isOtherMissing;
        MonotonicDuration gapAge; // how long before `start` the gap ended; negative: no gap
    };
    const LostDaemon holder { former, "c", start };
    const LostDaemon inA { { "x", 1 }, "a", start - 10min };
    const LostDaemon secondInA { { "y", 1 }, "a", start - 5min };
    const LostDaemon inB { { "z", 1 }, "b", start - 20min };
    for (const auto& row :
        std::initializer_list<Row> { { { holder }, {}, 2h, false, -1s }, { { holder, inA }, {}, 2h, false, -1s },
            { { holder, inA, secondInA }, {}, 2h, false, -1s }, { { holder, inA, inB }, {}, 2h, false, 20min },
            { { holder, inA, inB }, { inB.identity }, 2h, false, -1s }, { { holder, inA }, {}, 30min, false, 10min },
            { { holder, inA }, {}, 2h, true, 10min }, { { holder }, {}, 2h, true, -1s } }) {
        const SeatLease lease { 0, 4, start + 1h, start, former, row.formerHoldDuration };
        SeatRebuild rebuild({ .startTimeout = 0s }, lease, { { owner, "a" }, { other, "b" } }, row.lost, start);
        // Both reporters started long before the retention.
        rebuild.addReport({ owner, start - 9h, {}, {}, row.takenOverFrom });
        if (!row.isOtherMissing)
            rebuild.addReport({ other, start - 9h, {}, {}, {} });
        const auto until = rebuild.uncertainUntil(start);
        CHECK((row.gapAge < 0s ? until < start : until == start - row.gapAge + 1h));
        CHECK(rebuild.isReady(start) == !row.isOtherMissing);
        CHECK(rebuild.isReady(start + 2s));
    }
}

TEST_CASE("an attempt starts once, while its permit is valid by the owner's own clock")
{
    AttemptTable attempts({ .seatCount = 1 }, owner);
    const auto open = [&](std::uint64_t number) { return attempts.open({ 5, number }, { 1, number }, 7, start); };
    CHECK(open(1));
    CHECK_FALSE(open(1));
    attempts.applyPermit({ 5, 1 }, { 1, 2s }, start);
    CHECK(attempts.tryStart({ 5, 1 }, start + 1s));
    CHECK_FALSE(attempts.tryStart({ 5, 1 }, start + 1s));
    attempts.close({ 5, 1 }, Ran { 201, {} });
    attempts.close({ 5, 1 }, NotRun {});
    CHECK(std::holds_alternative<Ran>(attempts.outcome({ 5, 1 })));

    CHECK(open(2)); // paused until its permit expired
    attempts.applyPermit({ 5, 2 }, { 1, 2s }, start);
    CHECK_FALSE(attempts.tryStart({ 5, 2 }, start + 2s));
    attempts.applyPermit({ 5, 2 }, { 1, 9s }, start + 2s);
    CHECK_FALSE(attempts.tryStart({ 5, 2 }, start + 2s));
    CHECK(std::holds_alternative<NotRun>(attempts.outcome({ 5, 2 })));

    CHECK(open(3)); // granted by a holder that was replaced
    attempts.applyPermit({ 5, 3 }, { 1, 2s }, start);
    CHECK(attempts.fenceAndCollect(0, 2, start).size() == 1);
    CHECK_FALSE(attempts.tryStart({ 5, 3 }, start));
    CHECK(attempts.unreported().size() == 3);
    attempts.acknowledge({ 5, 3 });
    CHECK(attempts.unreported().size() == 2);
}

TEST_CASE("a witness isn't the holder, and is in another data centre than the owner")
{
    const std::vector<SeatRebuild::Member> all { { owner, "a" }, { { "p", 1 }, "a" }, { other, "b" }, { former, "b" },
        { { "q", 1 }, "c" } };
    const auto witnessAddresses
        = [&](const DaemonIdentity& holder, const SeatRebuild::Member& ownerMember, bool isSpread) {
              std::string text;
              for (const auto& member : selectWitnesses(holder, ownerMember, all, isSpread).value_or(decltype(all) {}))
                  text += member.identity.address + " ";
              return text;
          };
    CHECK(witnessAddresses(former, all[0], true) == "10.0.0.2:7101 ");
    CHECK(witnessAddresses(other, all[0], true) == "10.0.0.9:7101 ");
    CHECK(witnessAddresses(other, all[0], false) == "p ");
    CHECK(witnessAddresses(owner, all[0], true) == "p 10.0.0.2:7101 ");
    CHECK_FALSE(selectWitnesses(other, all[0], std::span(all).first(3), true));
}

TEST_CASE("a witness removes only expired records and those of attempts that were not run")
{
    WitnessTable witness({ .maximumRecords = 16 }); // one for each shard
    const AttemptRecord record { { 1, 1 }, { 5, 1 }, owner, 7, 1, Running {}, start };
    CHECK(witness.add(record, start));
    CHECK(witness.add(record, start));
    CHECK(witness.recordsOf(0, 1, start).size() == 1);
    witness.recordOutcome({ 5, 1 }, Ran { 201, StoredResponse {} });
    witness.recordOutcome({ 5, 1 }, NotRun {});
    CHECK(witness.size() == 1);
    CHECK(witness.allRecords(start + 1h).empty());
    CHECK(makeIdempotencyKey("ab", "c") != makeIdempotencyKey("a", "bc"));
    CHECK(fingerprintOf("POST", "/a", "b") != fingerprintOf("POST", "/ab", ""));
}
