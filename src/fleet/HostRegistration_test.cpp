#include "fleet/HostRegistration.h"

#include "base/Error.h"
#include "fleet/Deregistration.h"
#include "fleet/HostDirectory.h"
#include "fleet/LocalTarget.h"
#include "testing/OneRowStore.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

namespace {

    const std::string host = "10.1.0.1";

    auto makeHeartbeat(std::uint64_t sequence, bool isDraining) -> Heartbeat
    {
        return { .id = "i-1",
            .service = "ledger",
            .address = "10.1.0.1:8363",
            .startedAt = 100,
            .sequence = sequence,
            .slots = 5,
            .isDraining = isDraining };
    }

    struct Registering {
        boost::asio::io_context io;
        testing::OneRowStore store { host };
        LocalTarget target { "ledger", "10.1.0.1:8363" };
        HostDirectory directory;
        HostRegistration registration { io, store, target, directory,
            { .table = "hosts", .key = host, .host = { .peerAddress = "10.1.0.1:8366", .service = "ledger" } } };
        int targetChanges = 0;
        std::vector<bool> answers;

        Registering()
        {
            registration.setStoreTime([] { return 7s; });
            registration.onTargetChanged([this] { ++targetChanges; });
        }

        auto standing() const -> HostRecord
        {
            Error reason;
            return decodeHostRecord(host, store.row.value, reason).value_or(HostRecord {});
        }

        auto answered() -> HostRegistration::Answered
        {
            return [this](bool isKept) { answers.push_back(isKept); };
        }

        auto heartbeat(std::uint64_t sequence, bool isDraining) -> void
        {
            Error reason;
            REQUIRE(registration.receive(makeHeartbeat(sequence, isDraining), answered(), reason));
        }
    };

} // namespace

TEST_CASE("a target's first heartbeat writes its host's row")
{
    Registering now;
    now.registration.onHostsKnown();
    now.heartbeat(1, false);
    CHECK(now.answers == std::vector<bool> { true });
    CHECK(now.standing().state == HostRecord::State::Serving);
    CHECK(now.standing().targetId == "i-1");
    CHECK(now.standing().joinedAt == 7s);
}

// Found by reading: the answer went out after 0.65 s though the store had told nothing, so that a kill just then could
// forget that the target had left.
TEST_CASE("a leaving isn't confirmed before the store has it, and its repetition is once it has")
{
    Registering now;
    now.registration.onHostsKnown();
    now.heartbeat(1, false);
    now.store.isSilent = true;
    now.heartbeat(2, true);
    CHECK(now.answers == std::vector<bool> { true });
    now.io.run_for(1s);
    CHECK(now.answers == std::vector<bool> { true, false });
    CHECK_FALSE(now.target.isServing()); // nothing new is sent to it all the same

    now.heartbeat(3, true);
    CHECK(now.answers.size() == 2);
    now.store.isSilent = false;
    now.store.unanswered(StoreFailure { StoreFailure::Kind::Unknown, { "write", "store", "no answer" }, {} });
    now.io.restart();
    now.io.run_for(500ms);
    CHECK(now.answers == std::vector<bool> { true, false, true });
    CHECK(now.standing().state == HostRecord::State::Leaving);
}

TEST_CASE("a leaving that is heard before the store's rows is confirmed once they are known")
{
    Registering now;
    const bool isInTime = GENERATE(true, false);
    now.heartbeat(1, true);
    now.io.run_for(isInTime ? 300ms : 1s);
    now.registration.onHostsKnown();
    now.heartbeat(2, true);
    CHECK(now.answers.back());
    CHECK(now.standing().state == HostRecord::State::Leaving);
}

// Found by reading: it was kept in memory alone, so that a second restart within seconds forgot it.
TEST_CASE("a farewell that is heard before any heartbeat is written to the host's row")
{
    Registering now;
    const bool knowsHosts = GENERATE(true, false);
    const bool tellsStart = GENERATE(true, false);
    if (knowsHosts)
        now.registration.onHostsKnown();
    now.registration.receive(Deregistration { "i-1", tellsStart ? 100U : 0U }, now.answered());
    if (!knowsHosts)
        now.registration.onHostsKnown();
    REQUIRE(now.standing().state == HostRecord::State::Leaving);
    if (knowsHosts)
        CHECK(now.answers == std::vector<bool> { true });

    Registering later;
    later.directory.apply({ { host, now.store.row.value, 41, false } }, true);
    later.registration.onHostsKnown();
    CHECK(later.store.writes == 0); // the row stands
    later.heartbeat(9, false); // it was under way when the target said farewell
    CHECK_FALSE(later.target.isServing());
}

TEST_CASE("a farewell of an earlier target leaves the row of a later one as it is")
{
    Registering now;
    HostRecord standing { .peerAddress = "10.1.0.1:8366", .service = "ledger", .targetId = "i-2" };
    standing.targetStartedAt = 300;
    standing.state = HostRecord::State::Serving;
    now.directory.apply({ { host, encodeHostRecord(standing), 41, false } }, true);
    now.registration.onHostsKnown();
    now.registration.receive(Deregistration { "i-1", 100 }, now.answered());
    CHECK(now.answers == std::vector<bool> { true });
    CHECK(now.store.writes == 0);
}

TEST_CASE("a row that another host took away is written again, one whose target has left is taken away")
{
    Registering now;
    now.registration.onHostsKnown();
    now.heartbeat(1, false);
    now.store.row = {};
    now.registration.onHostsChanged();
    CHECK(now.store.writes == 2);
    CHECK(now.standing().state == HostRecord::State::Serving);
    now.registration.retractIfLeft();
    CHECK_FALSE(now.store.row.isRemoved);
    now.heartbeat(2, true);
    now.registration.retractIfLeft();
    CHECK(now.store.row.isRemoved);
}

} // namespace coriandergate::fleet
