#include "store/MemoryStore.h"

#include <catch2/catch.hpp>

namespace coriandergate::store {

namespace {

    auto commitOf(MemoryStore& store, Transaction transaction) -> CommitResult
    {
        CommitResult result;
        store.commit(std::move(transaction), [&](CommitResult answer) { result = std::move(answer); });
        return result;
    }

    auto readOf(MemoryStore& store, std::string_view key) -> std::optional<Row>
    {
        std::optional<Row> row;
        store.read(key, [&](const ReadResult& answer) { row = std::get<std::optional<Row>>(answer); });
        return row;
    }

    auto versionOf(MemoryStore& store, std::string_view key) -> std::uint64_t
    {
        const auto row = readOf(store, key);
        return row ? row->version : 0;
    }

} // namespace

TEST_CASE("MemoryStore takes a transaction as a whole or not at all", "[store]")
{
    MemoryStore store;
    REQUIRE(std::holds_alternative<Committed>(commitOf(store, { "op-1", { { "a", 0, "1" } } })));
    const auto failed = commitOf(store, { "op-2", { { "b", 0, "1" }, { "a", 0, "2" } } });
    REQUIRE(std::holds_alternative<ConditionFailed>(failed));
    CHECK(std::get<ConditionFailed>(failed).current == Row { "a", 1, "1", "op-1" });
    CHECK(versionOf(store, "b") == 0);
    REQUIRE(std::holds_alternative<Committed>(commitOf(store, { "op-3", { { "b", 0, "1" }, { "a", 1, "2" } } })));
    CHECK(readOf(store, "a") == Row { "a", 2, "2", "op-3" });
}

TEST_CASE("MemoryStore shows the faults that it is told to show", "[store]")
{
    MemoryStore store;
    const Transaction transaction { "op", { { "a", 0, "1" } } };
    SECTION("down: nothing is taken")
    {
        store.setFaults({ .isDown = true });
        CHECK(std::holds_alternative<Unavailable>(commitOf(store, transaction)));
        store.setFaults({});
        CHECK(versionOf(store, "a") == 0);
    }
    SECTION("the answer is lost after the write took effect")
    {
        store.setFaults({ .loseCommitAnswers = 1 });
        CHECK(std::holds_alternative<OutcomeUnknown>(commitOf(store, transaction)));
        CHECK(readOf(store, "a") == Row { "a", 1, "1", "op" });
    }
    SECTION("the write is lost before it took effect")
    {
        store.setFaults({ .dropCommits = 1 });
        CHECK(std::holds_alternative<OutcomeUnknown>(commitOf(store, transaction)));
        CHECK(versionOf(store, "a") == 0);
    }
    SECTION("another writer comes first")
    {
        store.setFaults({ .loseToAnotherWriter = 1 });
        CHECK(std::holds_alternative<ConditionFailed>(commitOf(store, transaction)));
        CHECK(readOf(store, "a")->operationId == "another-writer");
    }
    CHECK(store.counts().writes == 1);
}

TEST_CASE("MemoryStore lists rows by prefix, in order, a page at a time", "[store]")
{
    MemoryStore store;
    for (const auto* key : { "audit/2", "audit/1", "audit/3", "auditor", "a" })
        REQUIRE(std::holds_alternative<Committed>(commitOf(store, { "op", { { key, 0, key } } })));
    const auto keysAfter = [&](std::string_view after) {
        std::string keys;
        store.list("audit/", after, 2, [&](const ListResult& result) {
            for (const auto& row : std::get<std::vector<Row>>(result))
                keys += row.key + " ";
        });
        return keys;
    };
    CHECK(keysAfter("") == "audit/1 audit/2 ");
    CHECK(keysAfter("audit/2") == "audit/3 ");
    CHECK(keysAfter("audit/3").empty());
}

TEST_CASE("MemoryStore never changes an object", "[store]")
{
    MemoryStore store;
    store.put("n", "first", [](const PutResult&) {});
    store.put("n", "second", [](const PutResult&) {});
    store.fetch("n", [](const FetchResult& result) { CHECK(std::get<std::optional<std::string>>(result) == "first"); });
}

} // namespace coriandergate::store
