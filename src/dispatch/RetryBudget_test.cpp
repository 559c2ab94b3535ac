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

TEST_CASE("retries stay within the ratio and this host's share of the fixed budget")
{
    RetryBudget budget(options);
    for (int i = 0; i < 100; ++i)
        budget.recordRequest("orders", at(i * 10ms));
    int acquired = 0;
    while (budget.tryAcquire("orders", {}, RetryClass::HighPriority, 32, at(1s)))
        ++acquired;
    CHECK(acquired <= 22);
    CHECK(acquired >= 15);
    CHECK_FALSE(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 32, at(9s)));
    CHECK(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 32, at(11001ms)));
}

TEST_CASE("the retries of all hosts together stay within the fleet's budget while all targets fail")
{
    constexpr std::size_t hostCount = 34;
    int acquired = 0;
    int requests = 0;
    for (std::size_t host = 0; host < hostCount; ++host) {
        RetryBudget budget(options);
        for (int i = 0; i < 50; ++i) {
            budget.recordRequest("orders", at(i * 200ms));
            ++requests;
            while (budget.tryAcquire("orders", {}, RetryClass::HighPriority, hostCount, at(i * 200ms)))
                ++acquired;
        }
    }
    CHECK(acquired <= 0.2 * requests + 64);
}

// Load pattern: targets fail while the hosts are restarted one after the other, and then all at once.
TEST_CASE("hosts that are started again don't renew the fleet's fixed number of retries")
{
    constexpr std::size_t hostCount = 28;
    constexpr int requestsPerHost = 50; // one each 200 ms
    int acquired = 0;
    for (std::size_t host = 0; host < hostCount; ++host) {
        const int plannedRestart = 10 + static_cast<int>(host);
        RetryBudget budget(options);
        for (int i = 0; i < requestsPerHost; ++i) {
            const auto now = at(i * 200ms);
            if (i == plannedRestart || i == 40) {
                budget = RetryBudget(options);
                budget.onRestart(now);
            }
            budget.recordRequest("orders", now);
            while (budget.tryAcquire("orders", {}, RetryClass::HighPriority, hostCount, now))
                ++acquired;
        }
    }
    CHECK(acquired <= 0.2 * requestsPerHost * hostCount + 64);
}

TEST_CASE("a host has its share of the fixed number at its first start, and one window after a restart")
{
    RetryBudget budget(options);
    CHECK(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 32, at(0ms)));
    budget.onRestart(at(0ms));
    CHECK_FALSE(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 32, at(9999ms)));
    CHECK(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 32, at(10001ms)));
}

// Regression test: retries of requests that call another service exceeded the retry budget of that service, since these
// calls weren't counted.
TEST_CASE("a retry counts its calls against the budget of the called service")
{
    RetryBudget budget(options);
    const RetryBudget::CallsPerRequest calls { { "stock", 1.4 } };
    for (int i = 0; i < 1000; ++i)
        budget.recordRequest("orders", at(0ms));
    for (int i = 0; i < 100; ++i)
        budget.recordRequest("stock", at(0ms));
    int acquired = 0;
    while (budget.tryAcquire("orders", calls, RetryClass::HighPriority, 64, at(1s)))
        ++acquired;
    CHECK(acquired * 1.4 <= 0.2 * 100 + 1);
    CHECK(acquired > 5);
    CHECK_FALSE(budget.canAcquire("orders", calls, RetryClass::HighPriority, 64, at(1s)));
    CHECK(budget.canAcquire("orders", {}, RetryClass::HighPriority, 64, at(1s)));
}

// Load pattern: failures concentrated on few hosts. The baseline uses only each host's own share.
TEST_CASE("a host with an exhausted share borrows, and all shares together stay within the fleet's budget")
{
    constexpr std::size_t hostCount = 34;
    constexpr int neededRetries = 20; // retries at the one host that sees the failures
    std::vector<RetryBudget> budgets(hostCount, RetryBudget(options));
    for (auto& budget : budgets) {
        for (int i = 0; i < 50; ++i)
            budget.recordRequest("orders", at(i * 20ms));
    }
    int ownRetries = 0;
    int lentRetries = 0;
    for (int i = 0; i < neededRetries; ++i) {
        if (budgets[0].tryAcquire("orders", {}, RetryClass::HighPriority, hostCount, at(1s)))
            ++ownRetries;
        else if (budgets[1 + i % (hostCount - 1)].tryAcquire("orders", {}, RetryClass::Lent, hostCount, at(1s)))
            ++lentRetries;
    }
    CHECK(ownRetries < neededRetries); // all that the baseline has
    CHECK(ownRetries + lentRetries == neededRetries);
    int total = ownRetries + lentRetries;
    for (auto& budget : budgets) {
        while (budget.tryAcquire("orders", {}, RetryClass::HighPriority, hostCount, at(1s)))
            ++total;
    }
    CHECK(total <= 0.2 * 50 * hostCount + 64);
}

TEST_CASE("a lender reserves a fraction of its budget for its own requests")
{
    RetryBudget budget(options);
    for (int i = 0; i < 100; ++i)
        budget.recordRequest("orders", at(0ms));
    while (budget.tryAcquire("orders", {}, RetryClass::Lent, 34, at(1s))) { }
    CHECK(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 34, at(1s)));
}

// Load patterns: many targets failing at once, so that probes alone could exhaust the budget; a scarce retry budget.
TEST_CASE("probes leave most of the budget to other retries, and low-priority requests leave some of it")
{
    RetryBudget budget(options);
    for (int i = 0; i < 100; ++i)
        budget.recordRequest("orders", at(0ms));
    const auto acquireAll = [&budget](RetryClass retryClass) -> int {
        int acquired = 0;
        while (budget.tryAcquire("orders", {}, retryClass, 32, at(1s)))
            ++acquired;
        return acquired;
    };
    const int probes = acquireAll(RetryClass::Probe);
    const int lowPriority = acquireAll(RetryClass::LowPriority);
    const int highPriority = acquireAll(RetryClass::HighPriority);
    CHECK(probes > 0);
    CHECK(probes <= lowPriority);
    CHECK(highPriority > 0);
}

TEST_CASE("the call ratio follows requests and calls, and expires when they stop")
{
    CallRatio ratio;
    CHECK_FALSE(ratio.callsPerRequest(at(0ms)));
    for (int i = 0; i < 20; ++i) {
        ratio.recordRequest(at(i * 100ms));
        ratio.recordCall("stock", at(i * 100ms));
        if (i % 2 == 0)
            ratio.recordCall("stock", at(i * 100ms));
    }
    const auto calls = ratio.callsPerRequest(at(2s));
    REQUIRE(calls);
    REQUIRE(calls->count("stock") == 1);
    CHECK(calls->at("stock") == Approx(1.5).epsilon(0.05));
    CHECK_FALSE(ratio.callsPerRequest(at(120s)));
}

TEST_CASE("the call ratio includes the calls that called services make, and knows when there are none")
{
    CallRatio ratio;
    for (int i = 0; i < 20; ++i) {
        ratio.recordRequest(at(0ms));
        ratio.recordCall("stock", at(0ms));
    }
    ratio.recordCallsOf("stock", { { "ledger", 0.5 } });
    CHECK(ratio.callsPerRequest(at(0ms)) == RetryBudget::CallsPerRequest { { "ledger", 0.5 }, { "stock", 1 } });
    CallRatio none;
    none.recordRequest(at(0ms));
    none.recordRequest(at(0ms));
    CHECK(none.callsPerRequest(at(0ms)) == RetryBudget::CallsPerRequest {});
}

} // namespace coriandergate::dispatch
