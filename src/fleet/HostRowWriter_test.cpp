#include "fleet/HostRowWriter.h"

#include "fleet/EraCheckedStore.h"
#include "fleet/HostRecord.h"
#include "fleet/StoreVersion.h"
#include "net/AsioScheduler.h"
#include "testing/OneRowStore.h"

#include <catch2/catch.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

namespace {

    const std::string host = "10.1.0.1";

    auto makeRecord(const std::string& targetId) -> HostRecord
    {
        HostRecord record;
        record.peerAddress = "10.1.0.1:7780";
        record.service = "ledger";
        record.targetId = targetId;
        return record;
    }

    struct WriterFixture {
        boost::asio::io_context io;
        testing::OneRowStore store { host };
        HostRowWriter writer { io, store, "hosts", host };
    };

} // namespace

TEST_CASE("a restarted daemon replaces its host's row with one write")
{
    WriterFixture fixture;
    fixture.store.row = { host, encodeHostRecord(makeRecord("i-1")), 17, false };
    fixture.writer.setStoredVersion(17);
    bool isStored = false;
    fixture.writer.update(makeRecord("i-2"), [&] { isStored = true; });
    CHECK(isStored);
    CHECK(fixture.store.writes == 1);
}

TEST_CASE("a version conflict is resolved with a second write at the reported version")
{
    WriterFixture fixture;
    fixture.store.row = { host, encodeHostRecord(makeRecord("i-1")), 17, false };
    fixture.writer.setStoredVersion(12);
    fixture.writer.update(makeRecord("i-2"), nullptr);
    CHECK(fixture.writer.isStored());
    CHECK(fixture.store.writes == 2);
    CHECK(fixture.store.row.value == encodeHostRecord(makeRecord("i-2")));
}

TEST_CASE("an unavailable store is retried with backoff, and the row is written within two seconds of recovery")
{
    WriterFixture fixture;
    fixture.store.isAway = true;
    fixture.writer.update(makeRecord("i-1"), nullptr);
    fixture.io.run_for(5s);
    CHECK(fixture.store.writes <= 6); // immediately, then after 0.25, 0.75, 1.75, 3.25 and 4.75 s
    fixture.store.isAway = false;
    fixture.io.run_for(2s);
    CHECK(fixture.writer.isStored());
}

// Guards against a drain that is acknowledged and in no row: its write was under way during the restore.
TEST_CASE("a write that was under way while the store was restored is repeated, whatever its response says")
{
    boost::asio::io_context io;
    net::AsioScheduler scheduler(io);
    testing::OneRowStore store(host);
    EraCheckedStore checkedStore(scheduler, store);
    HostRowWriter writer(io, checkedStore, "hosts", host);
    checkedStore.onEraRose([&writer] { writer.onStoreRestored(); });
    checkedStore.recordEra(0);
    const StoreRow restored { host, encodeHostRecord(makeRecord("i-1")), makeVersion(1, 12), false };
    int confirmations = 0;
    store.isSilent = true;
    writer.update(makeRecord("i-2"), [&confirmations] { ++confirmations; });
    store.isSilent = false;
    store.row = restored;
    store.newest = restored.version;
    const auto response = GENERATE(0, 1, 2);
    const bool isRiseKnownBefore = GENERATE(true, false);
    if (isRiseKnownBefore)
        checkedStore.recordEra(1);
    if (response == 0) { // the store of the earlier era confirmed it; that is known to be void only after the rise
        store.unanswered(StoreResponse { .newestVersion = 41 });
        CHECK(confirmations == (isRiseKnownBefore ? 0 : 1));
    } else if (response == 1) { // the row of the earlier era has the very content
        StoreFailure conflict { StoreFailure::Kind::ConditionFailed, { "write", "store", "status 412" }, {} };
        conflict.current.push_back({ host, encodeHostRecord(makeRecord("i-2")), 41, false });
        store.unanswered(conflict);
        CHECK(confirmations == (isRiseKnownBefore ? 0 : 1));
    } else { // no response
        store.unanswered(StoreFailure { StoreFailure::Kind::Unknown, { "write", "store", "no answer" }, {} });
        CHECK(confirmations == 0);
    }
    checkedStore.recordEra(1);
    if (!writer.isStored())
        writer.update(makeRecord("i-2"), nullptr); // as HostRegistration does for a drain
    io.run_for(1s);
    CHECK(writer.isStored());
    CHECK(confirmations == 1);
    CHECK(store.row.value == encodeHostRecord(makeRecord("i-2")));
    CHECK(eraOf(store.row.version) == 1);
}

} // namespace coriandergate::fleet
