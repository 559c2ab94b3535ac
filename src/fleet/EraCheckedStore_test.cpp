#include "fleet/EraCheckedStore.h"

#include "fleet/StoreVersion.h"
#include "testing/SimulatedScheduler.h"

#include <catch2/catch.hpp>
#include <utility>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

namespace {

    // HeldStore keeps the callbacks of all requests until the test responds.
    class HeldStore : public StoreClient {
    public:
        auto read(const std::string&, Callback done) -> void override { requests.push_back(std::move(done)); }
        auto readRange(const RangeRequest&, Callback done) -> void override { requests.push_back(std::move(done)); }
        auto watch(const WatchRequest&, Callback done) -> void override { requests.push_back(std::move(done)); }
        auto write(const WriteRequest&, Callback done) -> void override { requests.push_back(std::move(done)); }

        std::vector<Callback> requests;
    };

    struct EraFixture {
        EraFixture()
        {
            store.onEraRose([this] { ++rises; });
        }

        auto result() -> StoreClient::Callback
        {
            return [this](StoreClient::Result value) { results.push_back(std::move(value)); };
        }

        // Makes `era` the known one, by a response to a read.
        auto learn(std::uint64_t era) -> void
        {
            store.read("op", [](const StoreClient::Result&) {});
            respond(StoreResponse { .newestVersion = makeVersion(era, 10) });
        }

        auto respond(StoreClient::Result value) -> void
        {
            const auto done = std::move(held.requests.back());
            held.requests.pop_back();
            done(std::move(value));
        }

        auto failureKind() -> StoreFailure::Kind
        {
            scheduler.runFor(1ms);
            REQUIRE_FALSE(results.empty());
            REQUIRE(std::holds_alternative<StoreFailure>(results.back()));
            return std::get<StoreFailure>(results.back()).kind;
        }

        testing::SimulatedScheduler scheduler;
        HeldStore held;
        EraCheckedStore store { scheduler, held };
        std::vector<StoreClient::Result> results;
        int rises = 0;
    };

} // namespace

TEST_CASE("versions are ordered over eras, and split into what the store gave out")
{
    CHECK(makeVersion(1, 3) > makeVersion(0, 500));
    CHECK(makeVersion(2, 3) > makeVersion(1, maximumVersionNumber));
    CHECK(eraOf(makeVersion(maximumEra, 17)) == maximumEra);
    CHECK(numberOf(makeVersion(maximumEra, 17)) == 17);
    CHECK(makeVersion(0, 17) == 17); // of a store that tells no era
}

TEST_CASE("the first known era isn't a rise, and each later one is told once, also by a failure or another daemon")
{
    EraFixture fixture;
    fixture.learn(3);
    CHECK(fixture.rises == 0);
    fixture.learn(4);
    CHECK(fixture.rises == 1);
    fixture.store.read("op", fixture.result());
    fixture.respond(StoreFailure { StoreFailure::Kind::NotApplied, { "read", "store", "status 503" }, {}, 5 });
    CHECK(fixture.rises == 2);
    fixture.store.recordEra(6);
    fixture.store.recordEra(6);
    CHECK(fixture.rises == 3);
    CHECK(fixture.store.era() == 6);
    fixture.store.read("op", fixture.result());
    fixture.respond(StoreFailure { StoreFailure::Kind::Unknown, { "read", "store", "no response" }, {} });
    CHECK(fixture.store.era() == 6);
}

// Guards against a row that is never received, because the store gave its version out again.
TEST_CASE("a watch from a version of an earlier era fails, whether the rise is known before or with its response")
{
    EraFixture fixture;
    fixture.learn(0);
    fixture.store.watch({ .table = "op", .after = makeVersion(0, 10) }, fixture.result());
    const bool isKnownBefore = GENERATE(true, false);
    if (isKnownBefore) {
        fixture.held.requests.clear();
        fixture.learn(1);
        fixture.store.watch({ .table = "op", .after = makeVersion(0, 10) }, fixture.result());
        CHECK(fixture.held.requests.empty());
        CHECK(fixture.results.empty()); // callbacks are asynchronous
    } else {
        fixture.respond(StoreResponse { .newestVersion = makeVersion(1, 10) });
    }
    CHECK(fixture.failureKind() == StoreFailure::Kind::HistoryTruncated);
    fixture.store.watch({ .table = "op", .after = makeVersion(1, 9) }, fixture.result());
    fixture.respond(StoreResponse { .newestVersion = makeVersion(1, 10) });
    CHECK(std::holds_alternative<StoreResponse>(fixture.results.back()));
}

// Guards against a row that is received seconds late: the store gave its version out again and held the watch from it.
TEST_CASE("a watch of an earlier era that the store holds ends as soon as the later era is known")
{
    EraFixture fixture;
    fixture.learn(0);
    fixture.store.watch({ .table = "op", .after = makeVersion(0, 10), .wait = 2600ms }, fixture.result());
    const bool isToldByOther = GENERATE(true, false);
    if (isToldByOther)
        fixture.store.recordEra(1);
    else
        fixture.learn(1);
    CHECK(fixture.results.empty()); // callbacks are asynchronous
    CHECK(fixture.failureKind() == StoreFailure::Kind::HistoryTruncated);
    fixture.respond(StoreResponse { .newestVersion = makeVersion(2, 11) });
    CHECK(fixture.results.size() == 1);
    CHECK(fixture.store.era() == 2);
}

// Guards against a proof of freshness from before the restore.
TEST_CASE("a response that was under way during the restore counts as a failure")
{
    EraFixture fixture;
    fixture.learn(0);
    fixture.store.read("op", fixture.result());
    fixture.store.recordEra(1);
    fixture.respond(StoreResponse { .newestVersion = makeVersion(0, 11) });
    CHECK(fixture.failureKind() == StoreFailure::Kind::NotApplied);
    CHECK(fixture.store.era() == 1);
}

// Guards against a write that replaces other content, whose version was given out again.
TEST_CASE("a write on condition of an earlier era isn't sent, and a confirmation from it counts as unknown")
{
    EraFixture fixture;
    fixture.learn(0);
    fixture.store.write({ "hosts", "a", makeVersion(0, 10), "x" }, fixture.result());
    fixture.store.recordEra(1);
    fixture.respond(StoreResponse { .newestVersion = makeVersion(0, 11) });
    CHECK(fixture.failureKind() == StoreFailure::Kind::Unknown);
    fixture.store.write({ "hosts", "a", makeVersion(0, 10), "x" }, fixture.result());
    CHECK(fixture.held.requests.empty());
    CHECK(fixture.failureKind() == StoreFailure::Kind::NotApplied);
    fixture.store.write({ "hosts", "a", 0, "x" }, fixture.result()); // on condition that there is no row
    REQUIRE(fixture.held.requests.size() == 1);
    fixture.respond(StoreFailure { StoreFailure::Kind::ConditionFailed, { "write", "store", "status 412" },
        { { "a", "y", makeVersion(1, 10), false } }, 1 });
    CHECK(fixture.failureKind() == StoreFailure::Kind::ConditionFailed);
}

} // namespace coriandergate::fleet
