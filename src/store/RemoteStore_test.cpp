#include "store/RemoteStore.h"

#include "http/WorkerPool.h"
#include "testing/Application.h"
#include "testing/ProcessUnderTest.h"
#include "testing/SimpleCall.h"

#include <catch2/catch.hpp>

#include <future>

namespace coriandergate::store {

namespace {

    using namespace std::chrono_literals;

    // A stand-in process and a client of it.
    struct StoreUnderTest {
        StoreUnderTest()
            : process(testing::toolPath(CORIANDERGATE_TOOLS, "coriandergate-store-stand-in"))
        {
            Error reason;
            REQUIRE(process.start(reason));
            const auto line = process.waitForLine("listening on", 10s);
            REQUIRE(line);
            peer = line->substr(line->rfind(' ') + 1);
            remote = std::make_unique<RemoteStore>(workers, 0, peer, RemoteStore::Options { .timeout = 300ms });
        }

        auto setFaults(const std::string& faults) -> void
        {
            Error reason;
            REQUIRE(testing::simpleCall(
                peer, { .method = "POST", .target = "/_faults", .headers = {}, .body = faults }, 5s, reason));
        }

        auto commit(Transaction transaction) -> CommitResult
        {
            std::promise<CommitResult> promise;
            remote->commit(std::move(transaction), [&](CommitResult result) { promise.set_value(std::move(result)); });
            return promise.get_future().get();
        }

        auto read(std::string_view key) -> ReadResult
        {
            std::promise<ReadResult> promise;
            remote->read(key, [&](ReadResult result) { promise.set_value(std::move(result)); });
            return promise.get_future().get();
        }

        testing::ProcessUnderTest process;
        std::string peer;
        http::WorkerPool workers { { .threads = 1 } };
        std::unique_ptr<RemoteStore> remote;
    };

    auto isRow(const ReadResult& result, const Row& row) -> bool
    {
        const auto* found = std::get_if<std::optional<Row>>(&result);
        return found != nullptr && *found == row;
    }

} // namespace

TEST_CASE("a store over HTTP keeps the contract of the interfaces", "[store]")
{
    testing::ensureApplication();
    StoreUnderTest store;
    const std::string binary("\x00\xff\n", 3);
    CHECK(std::holds_alternative<Committed>(store.commit({ "op-1", { { "a", 0, binary }, { "b", 0, "" } } })));
    CHECK(isRow(store.read("a"), { "a", 1, binary, "op-1" }));
    CHECK(std::get<std::optional<Row>>(store.read("c")) == std::nullopt);
    const auto failed = store.commit({ "op-2", { { "a", 0, "2" } } });
    REQUIRE(std::holds_alternative<ConditionFailed>(failed));
    CHECK(std::get<ConditionFailed>(failed).current.operationId == "op-1");
    std::promise<ListResult> listed;
    store.remote->list("", "a", 10, [&](ListResult result) { listed.set_value(std::move(result)); });
    CHECK(std::get<std::vector<Row>>(listed.get_future().get()).size() == 1);
    const std::string object(3 << 20, 'x');
    std::promise<FetchResult> fetched;
    store.remote->put("o", object, [&](const PutResult& result) {
        CHECK(std::holds_alternative<Stored>(result));
        store.remote->fetch("o", [&](FetchResult content) { fetched.set_value(std::move(content)); });
    });
    CHECK(std::get<std::optional<std::string>>(fetched.get_future().get()) == object);
}

TEST_CASE("a store over HTTP tells a refused write from one whose answer was lost", "[store]")
{
    testing::ensureApplication();
    StoreUnderTest store;
    store.setFaults(R"({"isDown": true})");
    CHECK(std::holds_alternative<Unavailable>(store.commit({ "op", { { "a", 0, "1" } } })));
    CHECK(std::holds_alternative<Unavailable>(store.read("a")));
    store.setFaults(R"({"loseCommitAnswers": 1})");
    CHECK(std::holds_alternative<OutcomeUnknown>(store.commit({ "op", { { "a", 0, "1" } } })));
    CHECK(isRow(store.read("a"), { "a", 1, "1", "op" }));
    store.setFaults(R"({"dropCommits": 1})");
    CHECK(std::holds_alternative<OutcomeUnknown>(store.commit({ "op", { { "b", 0, "1" } } })));
    CHECK(std::get<std::optional<Row>>(store.read("b")) == std::nullopt);
    store.setFaults(R"({"delayMs": 1000})");
    CHECK(std::holds_alternative<OutcomeUnknown>(store.commit({ "op", { { "c", 0, "1" } } })));
    CHECK(std::holds_alternative<Unavailable>(store.read("c")));
    store.process.kill();
    REQUIRE(store.process.waitForExit(5s));
    CHECK(std::holds_alternative<Unavailable>(store.commit({ "op", { { "d", 0, "1" } } })));
}

} // namespace coriandergate::store
