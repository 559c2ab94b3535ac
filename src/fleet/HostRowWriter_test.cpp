#include "fleet/HostRowWriter.h"

#include "fleet/HostRecord.h"
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

} // namespace coriandergate::fleet
