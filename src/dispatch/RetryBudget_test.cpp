#include "dispatch/RetryBudget.h"

#include "dispatch/CallRatio.h"

#include <catch2/catch.hpp>
#include <vector>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;

using RetryClass = RetryBudget::RetryClass;

namespace {

    auto at(std::chrono::milliseconds time) -> MonotonicTime { return MonotonicTime(time); }

    const RetryBudget::Options options { .retriesPerRequest = 0.2, .retriesPerWindow = 64, .window = 10s };

} // namespace

TEST_CASE("further attempts keep to the ratio and to this host's part of the allowance")
{
    RetryBudget budget(options);
    for (int i = 0; i < 100; ++i)
        budget.recordRequest("orders", at(i * 10ms));
    int taken = 0;
    while (budget.tryAcquire("orders", {}, RetryClass::HighPriority, 32, at(1s)))
        ++taken;
    CHECK(taken <= 22);
    CHECK(taken >= 15);
    CHECK_FALSE(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 32, at(9s)));
    CHECK(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 32, at(11001ms)));
}

TEST_CASE("the attempts of all hosts together stay within the fleet's budget while all targets fail")
{
    constexpr std::size_t hosts = 34;
    int taken = 0;
    int requests = 0;
    for (std::size_t host = 0; host < hosts; ++host) {
        RetryBudget budget(options);
        for (int i = 0; i < 50; ++i) {
            budget.recordRequest("orders", at(i * 200ms));
            ++requests;
            while (budget.tryAcquire("orders", {}, RetryClass::HighPriority, hosts, at(i * 200ms)))
                ++taken;
        }
    }
    CHECK(taken <= 0.2 * requests + 64);
}

// Seen on a hunted day: repeats of runs that call another service used up that service's budget unseen.
TEST_CASE("a repeat counts its calls at the service that they go to")
{
    RetryBudget budget(options);
    const RetryBudget::CallsPerRequest calls { { "stock", 1.4 } };
    for (int i = 0; i < 1000; ++i)
        budget.recordRequest("orders", at(0ms));
    for (int i = 0; i < 100; ++i)
        budget.recordRequest("stock", at(0ms));
    int taken = 0;
    while (budget.tryAcquire("orders", calls, RetryClass::HighPriority, 64, at(1s)))
        ++taken;
    CHECK(taken * 1.4 <= 0.2 * 100 + 1);
    CHECK(taken > 5);
    CHECK_FALSE(budget.canAcquire("orders", calls, RetryClass::HighPriority, 64, at(1s)));
    CHECK(budget.canAcquire("orders", {}, RetryClass::HighPriority, 64, at(1s)));
}

// Load pattern: failures that come to few entries at a time. The naive way keeps to each entry's own part.
TEST_CASE("an entry whose part is used up borrows, and all parts together stay within the fleet's budget")
{
    constexpr std::size_t hosts = 34;
    constexpr int needed = 20; // further attempts at the one entry that meets the failures
    std::vector<RetryBudget> budgets(hosts, RetryBudget(options));
    for (auto& budget : budgets) {
        for (int i = 0; i < 50; ++i)
            budget.recordRequest("orders", at(i * 20ms));
    }
    int own = 0;
    int lent = 0;
    for (int i = 0; i < needed; ++i) {
        if (budgets[0].tryAcquire("orders", {}, RetryClass::HighPriority, hosts, at(1s)))
            ++own;
        else if (budgets[1 + i % (hosts - 1)].tryAcquire("orders", {}, RetryClass::Lent, hosts, at(1s)))
            ++lent;
    }
    CHECK(own < needed); // all that the naive way has
    CHECK(own + lent == needed);
    int all = own + lent;
    for (auto& budget : budgets) {
        while (budget.tryAcquire("orders", {}, RetryClass::HighPriority, hosts, at(1s)))
            ++all;
    }
    CHECK(all <= 0.2 * 50 * hosts + 64);
}

TEST_CASE("a lender keeps a part for its own requests")
{
    RetryBudget budget(options);
    for (int i = 0; i < 100; ++i)
        budget.recordRequest("orders", at(0ms));
    while (budget.tryAcquire("orders", {}, RetryClass::Lent, 34, at(1s))) { }
    CHECK(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 34, at(1s)));
}

// Load patterns: many targets failing at once, so that trials alone could use up the budget; repeats that are scarce.
TEST_CASE("trials leave most of the budget, and less urgent requests a part of it, to the others")
{
    RetryBudget budget(options);
    for (int i = 0; i < 100; ++i)
        budget.recordRequest("orders", at(0ms));
    const auto takeAll = [&budget](RetryClass claim) -> int {
        int taken = 0;
        while (budget.tryAcquire("orders", {}, claim, 32, at(1s)))
            ++taken;
        return taken;
    };
    const int trials = takeAll(RetryClass::Probe);
    const int lessUrgent = takeAll(RetryClass::LowPriority);
    const int urgent = takeAll(RetryClass::HighPriority);
    CHECK(trials > 0);
    CHECK(trials <= lessUrgent);
    CHECK(urgent > 0);
}

TEST_CASE("the ratio of calls to runs is learnt from both, and forgotten when they stop")
{
    CallRatio ratio;
    CHECK(ratio.callsPerRequest(at(0ms)).empty());
    for (int i = 0; i < 20; ++i) {
        ratio.recordRequest(at(i * 100ms));
        ratio.recordCall("stock", at(i * 100ms));
        if (i % 2 == 0)
            ratio.recordCall("stock", at(i * 100ms));
    }
    const auto calls = ratio.callsPerRequest(at(2s));
    REQUIRE(calls.count("stock") == 1);
    CHECK(calls.at("stock") == Approx(1.5).epsilon(0.05));
    CHECK(ratio.callsPerRequest(at(120s)).empty());
}

} // namespace coriandergate::dispatch
