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

    struct Announcing {
        boost::asio::io_context io;
        testing::OneRowStore store { host };
        HostRowWriter announcer { io, store, "hosts", host };
    };

} // namespace

TEST_CASE("a host that starts again replaces its row with one write")
{
    Announcing now;
    now.store.row = { host, encodeHostRecord(makeRecord("i-1")), 17, false };
    now.announcer.recordStanding(17);
    bool isStored = false;
    now.announcer.announce(makeRecord("i-2"), [&] { isStored = true; });
    CHECK(isStored);
    CHECK(now.store.writes == 1);
}

TEST_CASE("a row that changed unseen is replaced after the store told its version")
{
    Announcing now;
    now.store.row = { host, encodeHostRecord(makeRecord("i-1")), 17, false };
    now.announcer.recordStanding(12);
    now.announcer.announce(makeRecord("i-2"), nullptr);
    CHECK(now.announcer.isStored());
    CHECK(now.store.writes == 2);
    CHECK(now.store.row.value == encodeHostRecord(makeRecord("i-2")));
}

TEST_CASE("while the store is away a host asks it seldom, and its row is back within two seconds of the return")
{
    Announcing now;
    now.store.isAway = true;
    now.announcer.announce(makeRecord("i-1"), nullptr);
    now.io.run_for(5s);
    CHECK(now.store.writes <= 6); // at once, after 0.25, 0.75, 1.75, 3.25 and 4.75 s
    now.store.isAway = false;
    now.io.run_for(2s);
    CHECK(now.announcer.isStored());
}

} // namespace coriandergate::fleet
