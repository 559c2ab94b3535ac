#include "relay/CrashRegistry.h"

#include "fleet/CrashRow.h"
#include "http/Exchange.h"
#include "net/HttpServer.h"
#include "relay/CrashReporter.h"
#include "testing/EntryFixture.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>
#include <optional>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    const MonotonicTime start { 100s };
    constexpr std::uint64_t fingerprint = 0xfeed;

    auto crashAt(const std::string& target) -> CrashReport { return { .fingerprint = fingerprint, .target = target }; }

    // Two hosts that count crashes, and the entry that reports to them.
    struct Fleet : testing::EntryFixture {
        Fleet()
            : server(io, {}, [this](std::shared_ptr<http::Exchange> exchange) { answer(exchange); })
        {
            Error reason;
            REQUIRE(server.listen("127.0.0.1:0", reason));
            crashRegistry.setStoreClock([] { return 9s; });
        }

        auto answer(const std::shared_ptr<http::Exchange>& exchange) -> void
        {
            Error reason;
            reports.push_back(decodeCrashReport(exchange->request().body, reason).value_or(CrashReport {}));
            exchange->answer(http::makeAnswer(200, "text/plain", encodeCrashes(knownCrashes)));
        }

        // Adds `count` hosts that count, or that can't be reached.
        auto addHosts(std::size_t count, bool isReachable) -> void
        {
            std::vector<fleet::StoreRow> rows;
            for (std::size_t i = 0; i < count; ++i)
                rows.push_back(testing::makeHostRow(
                    (isReachable ? "a" : "b") + std::to_string(i), isReachable ? server.port() : 1, s_locality));
            directory.apply(rows, false);
        }

        auto report(const CrashReport& message) -> std::optional<std::size_t>
        {
            bool isDone = false;
            std::optional<std::size_t> result;
            CrashReporter::start(context, message, [&](std::optional<std::size_t> crashes) {
                isDone = true;
                result = crashes;
            });
            testing::runUntil(io, [&isDone] { return isDone; });
            REQUIRE(isDone);
            return result;
        }

        net::HttpServer server;
        std::size_t knownCrashes = 2;
        std::vector<CrashReport> reports;
    };

} // namespace

TEST_CASE("CrashRegistry marks a request at its third crash, once, and renews the mark later")
{
    Fleet fleet;
    auto& writes = fleet.store.otherWrites;
    fleet.crashRegistry.recordAndMark(crashAt("a"), start);
    fleet.crashRegistry.recordAndMark(crashAt("b"), start);
    CHECK(writes.empty());
    CHECK(fleet.crashRegistry.recordAndMark(crashAt("c"), start) == 3);
    REQUIRE(writes.size() == 1);
    CHECK(writes[0].key == fleet::crashRowKey("west", fingerprint));
    CHECK(writes[0].expectedVersion == 0);
    fleet.directory.apply({ { writes[0].key, *writes[0].value, 7, false } }, false);
    CHECK(fleet.crashRegistry.crashesTargets(fingerprint));
    fleet.crashRegistry.recordAndMark(crashAt("d"), start + 1s);
    CHECK(writes.size() == 1);
    fleet.crashRegistry.setStoreClock([] { return CrashRegistry::s_markLifetime; });
    fleet.crashRegistry.recordAndMark(crashAt("d"), start + 20min);
    REQUIRE(writes.size() == 2);
    CHECK(writes[1].expectedVersion == 7);
    CHECK(fleet.directory.crashRowsBefore("west", 10s).size() == 1);
    CHECK(fleet.directory.crashRowsBefore("west", 9s).empty());
    CHECK(fleet.directory.crashRowsBefore("east", 10s).empty());
}

TEST_CASE("CrashRegistry tries to mark a request again when the store did not confirm the row")
{
    Fleet fleet;
    const bool isStoreAway = GENERATE(true, false);
    if (isStoreAway)
        fleet.store.isAway = true;
    else
        fleet.crashRegistry.setStoreClock([] { return std::nullopt; });
    for (const auto* target : { "a", "b", "c" })
        fleet.crashRegistry.recordAndMark(crashAt(target), start);
    CHECK(fleet.store.writes <= 1); // not again within seconds
    CHECK(fleet.store.otherWrites.empty());
    fleet.store.isAway = false;
    fleet.crashRegistry.setStoreClock([] { return 9s; });
    CHECK(fleet.crashRegistry.recordAndMark(crashAt("d"), start + 2s) == 4);
    CHECK(fleet.store.otherWrites.size() == 1);
}

// Load pattern: a request that most callers send was running on targets as they crashed, and is answered everywhere.
TEST_CASE("successes of a marked request cost one write and one report in a while")
{
    Fleet fleet;
    fleet.directory.apply({ { fleet::crashRowKey("east", fingerprint), fleet::encodeCrashRow(9s), 5, false } }, false);
    int reports = 0;
    for (int i = 0; i < 100; ++i) {
        const auto now = start + i * 10ms;
        reports += fleet.crashRegistry.tryBeginSuccessReport(fingerprint, now) ? 1 : 0;
        fleet.crashRegistry.recordAndMark({ .fingerprint = fingerprint, .target = "", .hasSucceeded = true }, now);
    }
    CHECK(reports == 1);
    CHECK(fleet.store.writes == 1);
    fleet.directory.apply({ { fleet::crashRowKey("east", fingerprint), "", 6, true } }, false);
    CHECK_FALSE(fleet.crashRegistry.tryBeginSuccessReport(fingerprint, start + 1min));
    fleet.crashRegistry.record(crashAt("a"), start + 1min);
    CHECK(fleet.store.writes == 1);
    CHECK(fleet.crashRegistry.tryBeginSuccessReport(fingerprint, start + 1min));
}

TEST_CASE("CrashRegistry bounds the number of marks")
{
    Fleet fleet;
    CrashRegistry registry(fleet.directory, fleet.store, { .table = "hosts", .region = "west", .maximumMarks = 2 });
    registry.setStoreClock([] { return 9s; });
    for (std::uint64_t request = 0; request < 10; ++request) {
        for (const auto* target : { "a", "b", "c" })
            registry.recordAndMark({ .fingerprint = request, .target = target }, start);
        const auto& writes = fleet.store.otherWrites;
        fleet.directory.apply({ { writes.back().key, *writes.back().value, request + 1, false } }, false);
    }
    CHECK(fleet.store.otherWrites.size() == 2);
}

// Guards against a restart of one of the hosts that count: the higher count of the other one decides.
TEST_CASE("CrashReporter tells two hosts and returns the highest count")
{
    Fleet fleet;
    fleet.addHosts(5, true);
    CHECK(fleet.report(crashAt("t")) == 2U);
    CHECK(fleet.reports == std::vector<CrashReport> { crashAt("t"), crashAt("t") });
    fleet.knownCrashes = 0;
    CHECK(fleet.report(crashAt("u")) == 2U); // both that this host has seen
}

TEST_CASE("CrashReporter replaces hosts that do not respond, and returns nothing when none does")
{
    Fleet fleet;
    fleet.addHosts(4, false);
    CHECK_FALSE(fleet.report(crashAt("t")));
    fleet.directory.apply({}, true);
    fleet.addHosts(2, false);
    fleet.addHosts(2, true);
    CHECK(fleet.report(crashAt("t")) == 2U);
    CHECK(fleet.reports.size() == 2);
}

TEST_CASE("CrashReporter skips hosts that left the directory while earlier ones were told")
{
    Fleet fleet;
    fleet.addHosts(4, false);
    const bool isReplaced = GENERATE(false, true);
    bool isDone = false;
    std::optional<std::size_t> result;
    CrashReporter::start(fleet.context, crashAt("t"), [&](std::optional<std::size_t> crashes) {
        isDone = true;
        result = crashes;
    });
    fleet.directory.apply({}, true);
    if (isReplaced)
        fleet.directory.apply({ testing::makeHostRow("b0", fleet.server.port(), testing::EntryFixture::s_locality),
                                  testing::makeHostRow("b1", fleet.server.port(), testing::EntryFixture::s_locality),
                                  testing::makeHostRow("b2", fleet.server.port(), testing::EntryFixture::s_locality) },
            false);
    REQUIRE(testing::runUntil(fleet.io, [&isDone] { return isDone; }));
    // Two of the four hosts were tried before the change, so at least one of those that are back is among the others.
    CHECK(result.has_value() == isReplaced);
    CHECK(fleet.reports.empty() != isReplaced);
}

// Guards against a crashing request that is retried again: the store came back from a copy without its mark.
TEST_CASE("CrashRegistry writes a mark again that the restored store lost, but not one that was removed")
{
    Fleet fleet;
    auto& writes = fleet.store.otherWrites;
    for (const auto* target : { "a", "b", "c" })
        fleet.crashRegistry.recordAndMark(crashAt(target), start);
    REQUIRE(writes.size() == 1);
    const fleet::StoreRow row { writes[0].key, *writes[0].value, 41, false };
    fleet.directory.apply({ row }, false);
    fleet.crashRegistry.onHostsChanged();
    const bool isRemoved = GENERATE(false, true);
    if (isRemoved) {
        fleet.directory.apply({ { row.key, "", 42, true } }, false);
        fleet.crashRegistry.onHostsChanged();
    }
    fleet.crashRegistry.onStoreRestored();
    fleet.directory.apply({}, true);
    fleet.crashRegistry.onHostsChanged();
    REQUIRE(writes.size() == (isRemoved ? 1 : 2));
    CHECK(fleet.crashRegistry.marksWrittenAgain() == (isRemoved ? 0 : 1));
    CHECK(writes.back().key == row.key);
    CHECK(writes.back().value == row.value);
    CHECK(writes.back().expectedVersion == 0);
}

} // namespace coriandergate::relay
