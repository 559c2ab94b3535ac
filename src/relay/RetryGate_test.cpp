#include "relay/RetryGate.h"

#include "base/Hash.h"
#include "fleet/CrashRow.h"
#include "testing/RequestFixture.h"
#include "testing/RunUntil.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    // A repeatable request of an entry that knows no other host.
    struct Gate : testing::RequestFixture {
        // acquire() returns why the next attempt must not be sent; nothing if the callback wasn't called.
        auto acquire() -> std::optional<std::string>
        {
            std::optional<std::string> result;
            gate->acquire("peer:1", [&result](std::string_view objection) { result = std::string(objection); });
            return result;
        }

        std::shared_ptr<RetryGate> gate = std::make_shared<RetryGate>(request);
    };

} // namespace

TEST_CASE_METHOD(Gate, "the first attempt of a request isn't charged to the retry budget, and every further one is")
{
    retryBudget = dispatch::RetryBudget({ .retriesPerRequest = 0, .retriesPerWindow = 2, .usableFraction = 1 });
    for (int i = 0; i < 10; ++i)
        CHECK(acquire() == "");
    request->history.attempts = 1;
    int granted = 0;
    while (granted < 10 && acquire() == "")
        ++granted;
    CHECK(granted >= 1);
    CHECK(granted <= 2);
    CHECK(acquire() == "no further attempt in the budget");
    request->history.hasUnusedRetry = true; // its charge covers one more
    CHECK(acquire() == "");
    CHECK_FALSE(request->history.hasUnusedRetry);
    CHECK(acquire() == "no further attempt in the budget");
}

TEST_CASE_METHOD(Gate, "a request that crashed several targets is sent to no further one, though budget is left")
{
    std::optional<bool> isCrashing;
    for (const auto* peer : { "a:1", "b:1", "c:1" })
        gate->countCrash(peer, [&isCrashing](bool crashing) { isCrashing = crashing; });
    CHECK(isCrashing == true);
    const auto fingerprint = hashOf("", hashOf("GET shop.example/reads/1"));
    directory.apply({ { fleet::crashRowKey("west", fingerprint), fleet::encodeCrashRow(9s), 5, false } }, false);
    CHECK(acquire() == ""); // a first attempt
    request->history.attempts = 1;
    CHECK(acquire() == "the request crashes targets");
}

TEST_CASE_METHOD(Gate, "a cancelled gate calls nobody back")
{
    directory.apply({ testing::makeHostRow("self", 1, s_locality), testing::makeHostRow("lender", 2, s_locality) },
        true); // nobody listens there
    retryBudget = dispatch::RetryBudget({ .retriesPerWindow = 0 });
    request->history.attempts = 1;
    bool isCalled = false;
    gate->acquire("peer:1", [&isCalled](std::string_view) { isCalled = true; });
    gate->countCrash("peer:1", [&isCalled](bool) { isCalled = true; });
    gate->cancel();
    CHECK_FALSE(testing::runUntil(
        io, [&isCalled] { return isCalled; }, 200ms));
}

} // namespace coriandergate::relay
