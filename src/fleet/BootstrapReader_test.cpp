#include "fleet/BootstrapReader.h"

#include "fleet/EraCheckedStore.h"
#include "fleet/HostRecord.h"
#include "fleet/RelayTransport.h"
#include "fleet/StoreVersion.h"
#include "testing/SimulatedScheduler.h"

#include <catch2/catch.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

namespace {

    // RestoredStore responds after a millisecond, from the era that is set.
    class RestoredStore : public StoreClient {
    public:
        explicit RestoredStore(Scheduler& scheduler)
            : m_scheduler(scheduler)
        {
        }

        auto read(const std::string& table, Callback done) -> void override
        {
            reads.push_back(table);
            const StoreRow row { "config", "from the store", makeVersion(era, 4), false };
            respond({ .rows = { row }, .newestVersion = makeVersion(era, 10), .storeTime = 1000ms }, std::move(done));
        }
        auto readRange(const RangeRequest&, Callback done) -> void override
        {
            respond({ .rows = hosts, .newestVersion = makeVersion(era, 10), .storeTime = 1000ms }, std::move(done));
        }
        auto watch(const WatchRequest&, Callback) -> void override { }
        auto write(const WriteRequest&, Callback) -> void override { }

        std::vector<StoreRow> hosts;
        std::vector<std::string> reads; // names of the tables
        std::uint64_t era = 0;

    private:
        auto respond(StoreResponse response, Callback done) -> void
        {
            m_scheduler.runAfter(1ms, [response = std::move(response), done = std::move(done)] { done(response); });
        }

        Scheduler& m_scheduler;
    };

    // OldPeers all have the rows of one era, or are unreachable.
    class OldPeers : public RelayTransport {
    public:
        explicit OldPeers(Scheduler& scheduler)
            : m_scheduler(scheduler)
        {
        }

        auto watch(const std::string&, const RelayWatchRequest& request, std::chrono::milliseconds timeout,
            Callback done) -> void override
        {
            requests.push_back(request);
            m_scheduler.runAfter(isReachable ? 5ms : timeout, [this, done = std::move(done)] {
                if (!isReachable) {
                    done(Error { "watch", "peer", "no response" });
                    return;
                }
                const StoreRow row { "config", "from a peer", makeVersion(era, 6), false };
                done(StoreResponse { .rows = { row }, .newestVersion = makeVersion(era, 9), .storeTime = 1000ms });
            });
        }

        std::vector<RelayWatchRequest> requests;
        std::uint64_t era = 0;
        bool isReachable = true;

    private:
        Scheduler& m_scheduler;
    };

    struct StartFixture {
        // The first two of the four hosts read from the store.
        explicit StartFixture(std::string hostKey)
            : reader(scheduler, checkedStore, peers,
                { .hostKey = std::move(hostKey),
                    .region = "west",
                    .hostTable = "hosts",
                    .operatorTable = "op",
                    .randomSeed = 1 })
        {
            for (const auto* key : { "west/a", "west/b", "west/c", "west/d" }) {
                const auto address = "10.1.0." + std::to_string(key[5] - 'a' + 1) + ":8366";
                const HostRecord record { .peerAddress = address, .locality = { "west", "west-a" } };
                store.hosts.push_back({ key, encodeHostRecord(record), makeVersion(0, 2), false });
            }
            reader.setStoreClock([] { return std::optional(1000ms); });
            reader.onKnownRows(
                [this](const std::string&, StoreResponse rows) { knownRows.push_back(rows.rows[0].value); });
        }

        // Reads the operators' table and returns how many rows of peers were known before.
        auto knownBeforeRead() -> std::optional<std::size_t>
        {
            std::optional<std::size_t> known;
            reader.read("op", [&](const StoreClient::Result& result) {
                REQUIRE(std::holds_alternative<StoreResponse>(result));
                content = std::get<StoreResponse>(result).rows[0].value;
                known = knownRows.size();
            });
            scheduler.runFor(5s);
            return known;
        }

        testing::SimulatedScheduler scheduler;
        RestoredStore store { scheduler };
        EraCheckedStore checkedStore { scheduler, store };
        OldPeers peers { scheduler };
        BootstrapReader reader;
        std::vector<std::string> knownRows;
        std::string content;
    };

} // namespace

TEST_CASE("a daemon that starts asks two hosts for the operators' rows if the store was ever restored")
{
    StartFixture fixture("west/a");
    fixture.store.era = GENERATE(0, 1);
    fixture.peers.isReachable = GENERATE(true, false);
    const std::size_t consulted = fixture.store.era == 0 ? 0 : 2;
    CHECK(fixture.knownBeforeRead() == (fixture.peers.isReachable ? consulted : 0));
    CHECK(fixture.content == "from the store");
    REQUIRE(fixture.peers.requests.size() == consulted);
    for (const auto& request : fixture.peers.requests) {
        CHECK(request.table == "op");
        CHECK(request.isSnapshot);
        CHECK(request.acceptsAnyAge);
    }
}

// Guards against a withdrawn key that works again: the daemon read the list of hosts before the restore and the
// configuration after it.
TEST_CASE("a daemon during whose start the store is restored asks the other hosts before it uses the store's rows")
{
    StartFixture fixture("west/a");
    fixture.scheduler.runAfter(1ms, [&fixture] { fixture.store.era = 1; });
    CHECK(fixture.knownBeforeRead() == 2);
    CHECK(fixture.content == "from the store"); // which the client compares with what the others know
    CHECK(fixture.store.reads == std::vector<std::string> { "op" });
}

TEST_CASE("a copy of an earlier era than the known one is refused, and the store is read in the end")
{
    StartFixture fixture("west/d");
    fixture.store.era = GENERATE(1, 2);
    fixture.peers.era = 1;
    CHECK(fixture.knownBeforeRead());
    const bool isCopied = fixture.store.era == 1;
    CHECK(fixture.content == (isCopied ? "from a peer" : "from the store"));
    CHECK(fixture.store.reads.size() == (isCopied ? 0 : 1));
}

} // namespace coriandergate::fleet
