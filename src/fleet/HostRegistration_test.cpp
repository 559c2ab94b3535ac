#include "fleet/HostRegistration.h"

#include "base/Error.h"
#include "fleet/Deregistration.h"
#include "fleet/HostDirectory.h"
#include "fleet/LocalTarget.h"
#include "fleet/StoreVersion.h"
#include "testing/RegistrationFixture.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

using testing::RegistrationFixture;

namespace {

    const std::string host = RegistrationFixture::s_host;

    auto makeHeartbeat(std::uint64_t sequence, bool isDraining) -> Heartbeat
    {
        return RegistrationFixture::makeHeartbeat("i-1", 100, sequence, isDraining);
    }

} // namespace

TEST_CASE("a target's first heartbeat writes its host's row")
{
    RegistrationFixture fixture;
    fixture.registration.onHostsLoaded();
    fixture.sendHeartbeat(makeHeartbeat(1, false));
    CHECK(fixture.acknowledgements == std::vector<bool> { true });
    CHECK(fixture.storedRecord().state == HostRecord::State::Serving);
    CHECK(fixture.storedRecord().targetId == "i-1");
    CHECK(fixture.storedRecord().joinedAt == 7s);
}

// Guards against a drain that is acknowledged after 0.65 s without the store's confirmation: if the daemon is killed at
// that moment, the drain is lost.
TEST_CASE("a drain is acknowledged only after the store has confirmed it")
{
    RegistrationFixture fixture;
    fixture.registration.onHostsLoaded();
    fixture.sendHeartbeat(makeHeartbeat(1, false));
    fixture.store.isSilent = true;
    fixture.sendHeartbeat(makeHeartbeat(2, true));
    CHECK(fixture.acknowledgements == std::vector<bool> { true });
    fixture.io.run_for(1s);
    CHECK(fixture.acknowledgements == std::vector<bool> { true, false });
    CHECK_FALSE(fixture.target.isServing()); // it gets no new requests in either case

    fixture.sendHeartbeat(makeHeartbeat(3, true));
    CHECK(fixture.acknowledgements.size() == 2);
    fixture.store.isSilent = false;
    fixture.store.unanswered(StoreFailure { StoreFailure::Kind::Unknown, { "write", "store", "no answer" }, {} });
    fixture.io.restart();
    fixture.io.run_for(500ms);
    CHECK(fixture.acknowledgements == std::vector<bool> { true, false, true });
    CHECK(fixture.storedRecord().state == HostRecord::State::Draining);
}

TEST_CASE("a drain received before the host rows are loaded is acknowledged once they are")
{
    RegistrationFixture fixture;
    const bool isBeforeTimeout = GENERATE(true, false);
    fixture.sendHeartbeat(makeHeartbeat(1, true));
    fixture.io.run_for(isBeforeTimeout ? 300ms : 1s);
    fixture.registration.onHostsLoaded();
    fixture.sendHeartbeat(makeHeartbeat(2, true));
    CHECK(fixture.acknowledgements.back());
    CHECK(fixture.storedRecord().state == HostRecord::State::Draining);
}

// Guards against a deregistration that is kept only in memory and is lost when the daemon restarts again within
// seconds.
TEST_CASE("a deregistration that arrives before the first heartbeat is written to the host's row")
{
    RegistrationFixture fixture;
    const bool areHostsLoaded = GENERATE(true, false);
    const bool hasStartTime = GENERATE(true, false);
    if (areHostsLoaded)
        fixture.registration.onHostsLoaded();
    fixture.registration.receive(Deregistration { "i-1", hasStartTime ? 100U : 0U }, fixture.acknowledge());
    if (!areHostsLoaded)
        fixture.registration.onHostsLoaded();
    REQUIRE(fixture.storedRecord().state == HostRecord::State::Draining);
    if (areHostsLoaded)
        CHECK(fixture.acknowledgements == std::vector<bool> { true });

    RegistrationFixture restarted;
    restarted.directory.apply({ { host, fixture.store.row.value, 41, false } }, true);
    restarted.registration.onHostsLoaded();
    CHECK(restarted.store.writes == 0); // the stored row is already correct
    restarted.sendHeartbeat(makeHeartbeat(9, false)); // sent before the target deregistered
    CHECK_FALSE(restarted.target.isServing());
}

TEST_CASE("a deregistration of an earlier target doesn't change the row of a later one")
{
    RegistrationFixture fixture;
    HostRecord laterRecord { .peerAddress = "10.1.0.1:8366", .service = "ledger", .targetId = "i-2" };
    laterRecord.targetStartedAt = 300;
    laterRecord.state = HostRecord::State::Serving;
    fixture.directory.apply({ { host, encodeHostRecord(laterRecord), 41, false } }, true);
    fixture.registration.onHostsLoaded();
    fixture.registration.receive(Deregistration { "i-1", 100 }, fixture.acknowledge());
    CHECK(fixture.acknowledgements == std::vector<bool> { true });
    CHECK(fixture.store.writes == 0);
}

// Guards against a stop that removes the acknowledged drain from the store: a daemon that was only restarted followed a
// late heartbeat and sent requests to the draining target.
TEST_CASE("a stop keeps the drain of its target in the row, and the next daemon takes it over")
{
    RegistrationFixture fixture;
    fixture.registration.onHostsLoaded();
    fixture.sendHeartbeat(makeHeartbeat(1, false));
    const bool isDrainingBeforeStop = GENERATE(true, false);
    const bool isStoreSilent = GENERATE(true, false);
    if (isDrainingBeforeStop)
        fixture.sendHeartbeat(makeHeartbeat(2, true));
    fixture.store.isSilent = isStoreSilent && isDrainingBeforeStop; // then the row of the drain remains
    fixture.registration.beginStop();
    if (!isDrainingBeforeStop)
        fixture.sendHeartbeat(makeHeartbeat(2, true));
    const bool isDeparted = fixture.storedRecord().state == HostRecord::State::Departed;
    CHECK(isDeparted == !fixture.store.isSilent);

    RegistrationFixture restarted;
    restarted.directory.apply({ { host, fixture.store.row.value, 41, false } }, true);
    restarted.store.row = { host, fixture.store.row.value, 41, false };
    CHECK(restarted.directory.size() == (isDeparted ? 0 : 1));
    const bool isHeartbeatEarly = GENERATE(true, false);
    if (isHeartbeatEarly)
        restarted.sendHeartbeat(makeHeartbeat(1, false));
    restarted.registration.onHostsLoaded();
    restarted.sendHeartbeat(makeHeartbeat(9, false));
    CHECK_FALSE(restarted.target.isServing());
    CHECK(restarted.storedRecord().state == HostRecord::State::Draining);
}

TEST_CASE("a host that departed joins anew, so that it doesn't take its share of the rate limits back at once")
{
    RegistrationFixture fixture;
    HostRecord departed { .peerAddress = "10.1.0.1:8366", .service = "ledger", .targetId = "i-1" };
    departed.targetStartedAt = 100;
    departed.joinedAt = 3s;
    departed = makeDeparted(departed, 5s);
    fixture.directory.apply({ { host, encodeHostRecord(departed), 41, false } }, true);
    fixture.store.row = { host, encodeHostRecord(departed), 41, false };
    fixture.registration.onHostsLoaded();
    // The hosts that a lost data centre had before must not all change their limits once more when it comes back.
    CHECK(fixture.store.writes == 0);
    const bool hasHeartbeat = GENERATE(true, false);
    if (hasHeartbeat)
        fixture.sendHeartbeat(makeHeartbeat(1, false));
    else
        fixture.io.run_for(5s);
    CHECK(fixture.storedRecord().joinedAt == 7s);
    CHECK(fixture.storedRecord().state == HostRecord::State::Draining);
}

TEST_CASE("a row removed by another host is written again, and a draining target marks its host as departed at a stop")
{
    RegistrationFixture fixture;
    fixture.registration.onHostsLoaded();
    fixture.sendHeartbeat(makeHeartbeat(1, false));
    fixture.store.row = {};
    fixture.registration.onHostsChanged();
    CHECK(fixture.store.writes == 2);
    CHECK(fixture.storedRecord().state == HostRecord::State::Serving);
    fixture.registration.beginStop();
    CHECK(fixture.storedRecord().state == HostRecord::State::Serving);
    fixture.sendHeartbeat(makeHeartbeat(2, true));
    CHECK(fixture.storedRecord().state == HostRecord::State::Departed);
    CHECK(fixture.storedRecord().departedAt == 7s);
}

// Guards against a drain that is lost for good: the store confirmed it and came back from an older copy.
TEST_CASE("after the store was restored an acknowledged drain is written again at once, at the restored version")
{
    RegistrationFixture fixture;
    fixture.registration.onHostsLoaded();
    fixture.sendHeartbeat(makeHeartbeat(1, false));
    const auto copy = fixture.store.row;
    fixture.sendHeartbeat(makeHeartbeat(2, true));
    fixture.store.row = { host, copy.value, makeVersion(1, numberOf(copy.version)), false };
    fixture.store.newest = fixture.store.row.version;
    fixture.store.writes = 0;
    fixture.registration.onStoreRestored();
    CHECK(fixture.storedRecord().state == HostRecord::State::Draining);
    CHECK(fixture.store.writes == 2); // the first one is rejected and tells the version
    CHECK(fixture.registration.rowsWrittenAgain() == 1);
    fixture.directory.apply({ { host, copy.value, makeVersion(1, 40), false } }, true);
    fixture.registration.onHostsChanged();
    CHECK(fixture.store.writes == 2);
}

TEST_CASE("after the store was restored the row of a serving target is written only if the store has another one")
{
    RegistrationFixture fixture;
    fixture.registration.onHostsLoaded();
    fixture.sendHeartbeat(makeHeartbeat(1, false));
    const auto confirmed = fixture.store.row;
    fixture.registration.onStoreRestored();
    CHECK(fixture.store.writes == 1);
    const auto restoredVersion = makeVersion(1, numberOf(confirmed.version));
    SECTION("the store has it")
    {
        fixture.store.row = { host, confirmed.value, restoredVersion, false };
        fixture.directory.apply({ fixture.store.row }, true);
        fixture.registration.onHostsChanged();
        CHECK(fixture.store.writes == 1);
        CHECK(fixture.registration.rowsWrittenAgain() == 0);
        // The next write has the version of the new era.
        fixture.store.newest = restoredVersion;
        fixture.sendHeartbeat(makeHeartbeat(2, true));
        CHECK(fixture.store.writes == 2);
        CHECK(fixture.storedRecord().state == HostRecord::State::Draining);
    }
    SECTION("the store lost it")
    {
        fixture.store.row = {};
        fixture.store.newest = makeVersion(1, 5);
        fixture.directory.apply({}, true);
        fixture.registration.onHostsChanged();
        CHECK(fixture.store.writes == 2);
        CHECK(fixture.storedRecord().state == HostRecord::State::Serving);
        CHECK(fixture.registration.rowsWrittenAgain() == 1);
    }
    SECTION("the store has an older one")
    {
        HostRecord older { .peerAddress = "10.1.0.1:8366", .service = "ledger", .targetId = "i-0" };
        older.targetStartedAt = 50;
        older.state = HostRecord::State::Serving;
        fixture.store.row = { host, encodeHostRecord(older), restoredVersion, false };
        fixture.store.newest = restoredVersion;
        fixture.directory.apply({ fixture.store.row }, true);
        fixture.registration.onHostsChanged();
        CHECK(fixture.store.writes == 2);
        CHECK(fixture.storedRecord().targetId == "i-1");
    }
}

// Guards against a daemon that was started again while the restored store lacked the drain: it followed a late
// heartbeat.
TEST_CASE("a drain that another daemon wrote again ends the use of the target")
{
    RegistrationFixture fixture;
    fixture.registration.onHostsLoaded();
    fixture.sendHeartbeat(makeHeartbeat(1, false));
    REQUIRE(fixture.target.isServing());
    auto record = fixture.storedRecord();
    record.state = HostRecord::State::Draining;
    fixture.store.row = { host, encodeHostRecord(record), ++fixture.store.newest, false };
    fixture.directory.apply({ fixture.store.row }, false);
    const auto changes = fixture.targetChanges;
    fixture.registration.onHostsChanged();
    CHECK_FALSE(fixture.target.isServing());
    CHECK(fixture.targetChanges == changes + 1);
    fixture.sendHeartbeat(makeHeartbeat(9, false));
    CHECK_FALSE(fixture.target.isServing());
    CHECK(fixture.storedRecord().state == HostRecord::State::Draining);
}

// Guards against a row with a drain that a late heartbeat replaces: the daemon was started before another one had
// written the drain again.
TEST_CASE("a drain that another daemon wrote again before the first heartbeat outlives a late one")
{
    RegistrationFixture fixture;
    HostRecord record { .peerAddress = "10.1.0.1:8366", .service = "ledger", .targetId = "i-1" };
    record.targetStartedAt = 100;
    record.state = HostRecord::State::Serving;
    fixture.store.row = { host, encodeHostRecord(record), 41, false };
    fixture.directory.apply({ fixture.store.row }, true);
    fixture.registration.onHostsLoaded();
    record.state = HostRecord::State::Draining;
    fixture.store.row = { host, encodeHostRecord(record), 42, false };
    fixture.directory.apply({ fixture.store.row }, false);
    fixture.registration.onHostsChanged();
    fixture.registration.onHostsChanged();
    CHECK(fixture.store.writes == 0);
    const bool isNextTarget = GENERATE(false, true);
    auto heartbeat = makeHeartbeat(9, false);
    if (isNextTarget) {
        heartbeat.id = "i-2";
        heartbeat.startedAt = 200;
    }
    Error reason;
    REQUIRE(fixture.registration.receive(heartbeat, fixture.acknowledge(), reason));
    CHECK(fixture.target.isServing() == isNextTarget);
    CHECK(fixture.storedRecord().state == (isNextTarget ? HostRecord::State::Serving : HostRecord::State::Draining));
}

// Guards against a departed target that is in use again after an upgrade.
TEST_CASE("the row that an earlier version wrote under another key is taken over with the state of its target")
{
    RegistrationFixture fixture;
    HostRecord former { .peerAddress = "10.1.0.1:8366", .service = "ledger", .targetId = "i-1" };
    former.targetStartedAt = 100;
    former.state = HostRecord::State::Draining;
    former.joinedAt = 3s;
    fixture.directory.apply({ { "former", encodeHostRecord(former), 41, false } }, true);
    fixture.registration.onHostsLoaded();
    CHECK(fixture.storedRecord() == former);
    REQUIRE(fixture.store.otherWrites.size() == 1);
    CHECK(fixture.store.otherWrites[0].key == "former");
    CHECK(fixture.store.otherWrites[0].expectedVersion == 41);
    CHECK_FALSE(fixture.store.otherWrites[0].value);
    fixture.sendHeartbeat(makeHeartbeat(9, false));
    CHECK_FALSE(fixture.target.isServing());
}

} // namespace coriandergate::fleet
