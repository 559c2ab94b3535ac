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

struct LedgerFixture {
    explicit LedgerFixture(IdempotencyTable::Options options = { .seatCount = 1 })
        : ledger(options)
    {
        ledger.openSeat(tenure, {}, {}, start);
    }

    auto begin(IdempotencyKey key, std::uint64_t number, MonotonicTime now = start, std::uint64_t fingerprint = 7)
        -> PermitResponse
    {
        return ledger.requestPermit({ key, { 5, number }, owner, fingerprint }, tenure, now);
    }

    SeatLease tenure { 0, 1, start + 3h, start, {}, {} };
    IdempotencyTable ledger;
};

template <typename T> auto is(const PermitResponse& answer) -> bool { return std::holds_alternative<T>(answer); }

} // namespace

TEST_CASE("a key is granted to one attempt, again to the same one, and freed by not run")
{
    LedgerFixture f;
    CHECK(is<Permit>(f.begin({ 1, 1 }, 1)));
    CHECK(is<Permit>(f.begin({ 1, 1 }, 1)));
    CHECK(std::get<InProgress>(f.begin({ 1, 1 }, 2)).attempt == AttemptId { 5, 1 });
    CHECK(is<FingerprintMismatch>(f.begin({ 1, 1 }, 2, start, 8)));
    f.ledger.recordOutcome({ 1, 1 }, { 5, 2 }, NotRun {}, start); // of an attempt that wasn't granted
    CHECK(is<InProgress>(f.begin({ 1, 1 }, 2)));
    f.ledger.recordOutcome({ 1, 1 }, { 5, 1 }, NotRun {}, start);
    CHECK(is<Permit>(f.begin({ 1, 1 }, 2)));
    f.ledger.recordOutcome({ 1, 1 }, { 5, 2 }, Ran { 201, StoredResponse { "text/plain", "done" } }, start);
    f.ledger.recordOutcome({ 1, 1 }, { 5, 2 }, NotRun {}, start); // late and wrong
    CHECK(std::get<AlreadyRan>(f.begin({ 1, 1 }, 3)).outcome.response->body == "done");
    f.ledger.recordOutcome({ 1, 1 }, { 5, 2 }, Ran { 201, {} }, start);
    CHECK(std::get<AlreadyRan>(f.begin({ 1, 1 }, 3)).outcome.response->body == "done");
    CHECK(f.ledger.keyCount() == 1);
    CHECK(is<Permit>(f.begin({ 1, 1 }, 4, start + 1h)));
}

TEST_CASE("a lost owner leaves an unknown outcome until its word comes after all")
{
    LedgerFixture f;
    CHECK(is<Permit>(f.begin({ 1, 1 }, 1)));
    f.ledger.markDaemonLost({ owner, "a", start });
    CHECK(is<OutcomeUnknown>(f.begin({ 1, 1 }, 2)));
    f.ledger.recordOutcome({ 1, 1 }, { 5, 1 }, Ran { 200, {} }, start);
    CHECK(is<AlreadyRan>(f.begin({ 1, 1 }, 2)));
}

TEST_CASE("a full ledger refuses new keys and forgets none early; a permit ends with the tenure")
{
    LedgerFixture f({ .seatCount = 1, .maximumKeys = 2, .maximumResponseBytes = 4 });
    CHECK(is<Permit>(f.begin({ 1, 1 }, 1)));
    f.ledger.recordOutcome({ 1, 1 }, { 5, 1 }, Ran { 201, StoredResponse { "", "too long" } }, start);
    CHECK_FALSE(std::get<AlreadyRan>(f.begin({ 1, 1 }, 2)).outcome.response);
    CHECK(is<Permit>(f.begin({ 2, 2 }, 2, start + 10min)));
    const auto refused = std::get<PermitRefused>(f.begin({ 3, 3 }, 3, start + 20min));
    CHECK(refused.reason == PermitRefused::Reason::TableFull);
    CHECK(refused.retryAfter == 40min);
    f.tenure.validUntil = start + 1h + 1s;
    CHECK(std::get<Permit>(f.begin({ 3, 3 }, 3, start + 1h)).lifetime < 1s);
    CHECK(is<PermitRefused>(f.begin({ 4, 4 }, 4, start + 1h + 1s)));
}

TEST_CASE("a rebuilt seat grants nothing before the members answered, and knows what they know")
{
    IdempotencyTable ledger({ .seatCount = 1 });
    const SeatLease tenure { 0, 4, start + 1h, start, former, 2h };
    ledger.openSeat(tenure, { { owner, "a" }, { other, "b" } }, { { former, "c", start } }, start);
    const PermitRequest request { { 1, 1 }, { 5, 3 }, owner, 7 };
    CHECK(ledger.missingReports(0).size() == 2);
    CHECK(is<PermitRefused>(ledger.requestPermit(request, tenure, start)));
    const auto record = [&](std::uint64_t number, AttemptOutcome outcome) {
        return AttemptRecord { { 1, 1 }, { 5, number }, owner, 7, 3, std::move(outcome), start - 1min };
    };
    const RebuildReport fromOwner { owner, start - 9h, { record(1, Running {}) }, {}, {} };
    const RebuildReport fromOther { other, start - 9h, { record(2, Running {}) }, {}, {} };
    ledger.addReport(0, 4, fromOwner, start);
    ledger.addReport(0, 3, fromOther, start); // of another epoch
    CHECK(is<PermitRefused>(ledger.requestPermit(request, tenure, start)));
    ledger.addReport(0, 4, fromOther, start);
    ledger.addReport(0, 4, fromOther, start);
    CHECK(is<InProgress>(ledger.requestPermit(request, tenure, start)));
    ledger.recordOutcome({ 1, 1 }, { 5, 1 }, NotRun {}, start);
    CHECK(is<InProgress>(ledger.requestPermit(request, tenure, start))); // the other attempt may run still
    ledger.recordOutcome({ 1, 1 }, { 5, 2 }, NotRun {}, start);
    CHECK(is<Permit>(ledger.requestPermit(request, tenure, start)));
}

TEST_CASE("a holder whose guards change goes on without a rebuild, and with one after a gap")
{
    LedgerFixture f;
    CHECK(is<Permit>(f.begin({ 1, 1 }, 1)));
    f.tenure.epoch = 2;
    f.tenure.heldSince = start + 3h; // when the tenure before ran out
    f.tenure.validUntil = start + 4h;
    f.tenure.formerHolder = former;
    CHECK(is<Permit>(f.begin({ 1, 1 }, 1, start + 10min)));
    f.tenure.epoch = 3;
    f.tenure.heldSince = start + 5h;
    f.tenure.validUntil = start + 6h;
    CHECK(is<PermitRefused>(f.begin({ 2, 2 }, 2, start + 5h)));
    f.ledger.openSeat(f.tenure, { { owner, "a" } }, {}, start + 5h);
    CHECK(is<PermitRefused>(f.begin({ 2, 2 }, 2, start + 5h)));
    f.ledger.addReport(0, 3, { owner, start, {}, {}, {} }, start + 5h);
    CHECK(is<Permit>(f.begin({ 2, 2 }, 2, start + 5h)));
}

TEST_CASE("only the loss of two daemons of different data centres leaves a gap, and for a bounded time")
{
    struct Row {
        std::vector<LostDaemon> lost;
        std::vector<DaemonIdentity> absorbed;
        MonotonicDuration formerHoldDuration;
        bool isOtherSilent;
        MonotonicDuration gapBefore; // before `start`; negative: no gap
    };
    const LostDaemon holder { former, "c", start };
    const LostDaemon atA { { "x", 1 }, "a", start - 10min };
    const LostDaemon atA2 { { "y", 1 }, "a", start - 5min };
    const LostDaemon atB { { "z", 1 }, "b", start - 20min };
    for (const auto& row :
        std::initializer_list<Row> { { { holder }, {}, 2h, false, -1s }, { { holder, atA }, {}, 2h, false, -1s },
            { { holder, atA, atA2 }, {}, 2h, false, -1s }, { { holder, atA, atB }, {}, 2h, false, 20min },
            { { holder, atA, atB }, { atB.identity }, 2h, false, -1s }, { { holder, atA }, {}, 30min, false, 10min },
            { { holder, atA }, {}, 2h, true, 10min }, { { holder }, {}, 2h, true, -1s } }) {
        const SeatLease tenure { 0, 4, start + 1h, start, former, row.formerHoldDuration };
        SeatRebuild rebuild({ .startTimeout = 0s }, tenure, { { owner, "a" }, { other, "b" } }, row.lost, start);
        rebuild.addReport({ owner, start - 9h, {}, {}, row.absorbed });
        if (!row.isOtherSilent)
            rebuild.addReport({ other, start - 9h, {}, {}, {} });
        const auto until = rebuild.uncertainUntil(start);
        CHECK((row.gapBefore < 0s ? until < start : until == start - row.gapBefore + 1h));
        CHECK(rebuild.isReady(start) == !row.isOtherSilent);
        CHECK(rebuild.isReady(start + 2s));
    }
}

TEST_CASE("an attempt starts once, on a permit that is good by the owner's own clock")
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

    CHECK(open(2)); // paused past the end of its permit
    attempts.applyPermit({ 5, 2 }, { 1, 2s }, start);
    CHECK_FALSE(attempts.tryStart({ 5, 2 }, start + 2s));
    attempts.applyPermit({ 5, 2 }, { 1, 9s }, start + 2s);
    CHECK_FALSE(attempts.tryStart({ 5, 2 }, start + 2s));
    CHECK(std::holds_alternative<NotRun>(attempts.outcome({ 5, 2 })));

    CHECK(open(3)); // permitted by a holder that was replaced
    attempts.applyPermit({ 5, 3 }, { 1, 2s }, start);
    CHECK(attempts.fenceAndCollect(0, 2, start).size() == 1);
    CHECK_FALSE(attempts.tryStart({ 5, 3 }, start));
    CHECK(attempts.unreported().size() == 3);
    attempts.acknowledge({ 5, 3 });
    CHECK(attempts.unreported().size() == 2);
}

TEST_CASE("witnesses are chosen apart from the holder and from the owner's data centre")
{
    const std::vector<SeatRebuild::Member> all { { owner, "a" }, { { "p", 1 }, "a" }, { other, "b" }, { former, "b" },
        { { "q", 1 }, "c" } };
    const auto names = [&](const DaemonIdentity& holder, const SeatRebuild::Member& runs, bool areSpread) {
        std::string text;
        for (const auto& member : selectWitnesses(holder, runs, all, areSpread).value_or(decltype(all) {}))
            text += member.identity.address + " ";
        return text;
    };
    CHECK(names(former, all[0], true) == "10.0.0.2:7101 ");
    CHECK(names(other, all[0], true) == "10.0.0.9:7101 ");
    CHECK(names(other, all[0], false) == "p ");
    CHECK(names(owner, all[0], true) == "p 10.0.0.2:7101 ");
    CHECK_FALSE(selectWitnesses(other, all[0], std::span(all).first(3), true));
}

TEST_CASE("a witness forgets only what is old or was not run")
{
    WitnessTable log({ .maximumRecords = 16 }); // one a shard
    const AttemptRecord record { { 1, 1 }, { 5, 1 }, owner, 7, 1, Running {}, start };
    CHECK(log.add(record, start));
    CHECK(log.add(record, start));
    CHECK(log.recordsOf(0, 1, start).size() == 1);
    log.recordOutcome({ 5, 1 }, Ran { 201, StoredResponse {} });
    log.recordOutcome({ 5, 1 }, NotRun {});
    CHECK(log.size() == 1);
    CHECK(log.allRecords(start + 1h).empty());
    CHECK(makeIdempotencyKey("ab", "c") != makeIdempotencyKey("a", "bc"));
    CHECK(fingerprintOf("POST", "/a", "b") != fingerprintOf("POST", "/ab", ""));
}
