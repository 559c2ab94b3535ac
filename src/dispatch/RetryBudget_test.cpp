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
    constexpr std::size_t hostCount = 32;
    RetryBudget budget(options);
    int acquired = 0;
    const auto acquireAll = [&](std::chrono::milliseconds now) {
        while (budget.tryAcquire("orders", {}, RetryClass::HighPriority, hostCount, at(now)))
            ++acquired;
    };
    for (int i = 0; i < 100; ++i) {
        budget.recordRequest("orders", hostCount, at(i * 100ms));
        acquireAll(i * 100ms);
    }
    CHECK(acquired <= 22);
    CHECK(acquired >= 15);
    acquireAll(9999ms);
    CHECK(acquired <= 22);
}

TEST_CASE("a host may save up a part of its budget for a burst of failures, and no more")
{
    constexpr std::size_t hostCount = 32;
    RetryBudget budget(options);
    for (int i = 0; i < 1000; ++i)
        budget.recordRequest("orders", hostCount, at(i * 10ms));
    const auto burst = [&](std::chrono::milliseconds now) {
        int acquired = 0;
        while (budget.tryAcquire("orders", {}, RetryClass::HighPriority, hostCount, at(now)))
            ++acquired;
        return acquired;
    };
    CHECK(burst(10s) >= 20);
    CHECK(burst(10s) == 0);
    CHECK(burst(20s) <= 1); // of the fixed number alone
    // What was saved expires with its requests.
    RetryBudget idle(options);
    for (int i = 0; i < 1000; ++i)
        idle.recordRequest("orders", hostCount, at(i * 10ms));
    int acquired = 0;
    while (idle.tryAcquire("orders", {}, RetryClass::HighPriority, hostCount, at(20001ms)))
        ++acquired;
    CHECK(acquired <= 2);
}

TEST_CASE("the retries of all hosts together stay within the fleet's budget while all targets fail")
{
    constexpr std::size_t hostCount = 34;
    int acquired = 0;
    int requests = 0;
    for (std::size_t host = 0; host < hostCount; ++host) {
        RetryBudget budget(options);
        for (int i = 0; i < 50; ++i) {
            budget.recordRequest("orders", hostCount, at(i * 200ms));
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
            budget.recordRequest("orders", hostCount, now);
            while (budget.tryAcquire("orders", {}, RetryClass::HighPriority, hostCount, now))
                ++acquired;
        }
    }
    CHECK(acquired <= 0.2 * requestsPerHost * hostCount + 64);
}

// Guards against repeats beyond the fleet's budget after all daemons were restarted: each had forgotten what it had
// sent.
TEST_CASE("hosts that use up their budgets just before a restart of all of them don't exceed the fleet's budget")
{
    constexpr std::size_t hostCount = 28;
    const RetryBudget::Options fleet { .retriesPerRequest = 0.2, .retriesPerWindow = 62, .window = 10s };
    constexpr int requestsPerHost = 110; // one each 200 ms
    constexpr int firstFailure = 50;
    constexpr int restart = 60;
    int acquired = 0; // within one window
    for (std::size_t host = 0; host < hostCount; ++host) {
        RetryBudget budget(fleet);
        for (int i = 0; i < requestsPerHost; ++i) {
            const auto now = at(i * 200ms);
            if (i == restart)
                budget.onRestart(now);
            budget.recordRequest("orders", hostCount, now);
            while (i >= firstFailure && i < firstFailure + 50
                && budget.tryAcquire("orders", {}, RetryClass::HighPriority, hostCount, now))
                ++acquired;
        }
    }
    CHECK(acquired <= 0.2 * 50 * hostCount + 62);
    CHECK(acquired >= 0.6 * 0.2 * 50 * hostCount);
}

TEST_CASE("a host begins with its share of the fixed number at the fleet's first start, and with nothing otherwise")
{
    RetryBudget budget(options);
    CHECK(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 32, at(0ms)));
    budget.onRestart(at(0ms));
    CHECK_FALSE(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 32, at(9999ms)));
    CHECK(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 32, at(30s)));
}

// Regression test: retries of requests that call another service exceeded the retry budget of that service, since these
// calls weren't counted.
TEST_CASE("a retry counts its calls against the budget of the called service")
{
    RetryBudget budget(options);
    const RetryBudget::CallsPerRequest calls { { "stock", 1.4 } };
    int acquired = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordRequest("orders", 64, at(i * 1ms));
        if (i % 10 == 0)
            budget.recordRequest("stock", 64, at(i * 1ms));
        while (budget.tryAcquire("orders", calls, RetryClass::HighPriority, 64, at(i * 1ms)))
            ++acquired;
    }
    CHECK(acquired * 1.4 <= 0.2 * 100 + 1);
    CHECK(acquired > 5);
    CHECK_FALSE(budget.canAcquire("orders", calls, RetryClass::HighPriority, 64, at(1s)));
    CHECK(budget.canAcquire("orders", {}, RetryClass::HighPriority, 64, at(1s)));
}

// Guards against a budget that is exceeded by calls which come back to the service that is retried.
TEST_CASE("a retry whose calls lead back to its own service is charged for both together")
{
    RetryBudget budget({ .retriesPerRequest = 0, .retriesPerWindow = 3, .usableFraction = 1, .savedFixedFraction = 1 });
    CHECK_FALSE(budget.tryAcquire("orders", { { "orders", 2.5 } }, RetryClass::HighPriority, 1, at(0ms)));
    CHECK(budget.tryAcquire("orders", { { "orders", 1.5 } }, RetryClass::HighPriority, 1, at(0ms)));
    CHECK_FALSE(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 1, at(0ms)));
}

// Load pattern: failures concentrated on few hosts. The baseline uses only each host's own share.
TEST_CASE("a host with an exhausted share borrows, and all shares together stay within the fleet's budget")
{
    constexpr std::size_t hostCount = 34;
    constexpr int neededRetries = 20; // retries at the one host that sees the failures
    std::vector<RetryBudget> budgets(hostCount, RetryBudget(options));
    for (auto& budget : budgets) {
        for (int i = 0; i < 50; ++i)
            budget.recordRequest("orders", hostCount, at(i * 20ms));
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
        budget.recordRequest("orders", 34, at(0ms));
    while (budget.tryAcquire("orders", {}, RetryClass::Lent, 34, at(1s))) { }
    CHECK(budget.tryAcquire("orders", {}, RetryClass::HighPriority, 34, at(1s)));
}

// Load patterns: many targets failing at once, so that probes alone could exhaust the budget; a scarce retry budget.
TEST_CASE("probes leave most of the budget to other retries, and low-priority requests leave some of it")
{
    RetryBudget budget(options);
    for (int i = 0; i < 100; ++i)
        budget.recordRequest("orders", 34, at(0ms));
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
        ratio.recordKeyless({ .service = "stock", .route = "stock-levels" }, at(i * 100ms));
        if (i % 2 == 0)
            ratio.recordKeyless({ .service = "stock", .route = "stock-levels" }, at(i * 100ms));
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
        ratio.recordKeyless({ .service = "stock", .route = "stock-levels" }, at(0ms));
    }
    ratio.recordCallsOf("stock", { { "ledger", 0.5 } });
    CHECK(ratio.callsPerRequest(at(0ms)) == RetryBudget::CallsPerRequest { { "ledger", 0.5 }, { "stock", 1 } });
    CallRatio none;
    none.recordRequest(at(0ms));
    none.recordRequest(at(0ms));
    CHECK(none.callsPerRequest(at(0ms)) == RetryBudget::CallsPerRequest {});
}

// Guards against retries that are charged for what callers sent beside them, which left fewer for other requests.
TEST_CASE("requests of callers on open routes aren't taken for calls of the target")
{
    CallRatio ratio;
    for (int i = 0; i < 200; ++i) {
        const auto now = at(i * 100ms);
        ratio.recordRequest(now);
        ratio.recordKeyless({ .service = "stock", .route = "stock-levels" }, now);
        ratio.recordKeyless({ .service = "ledger", .route = "price-sheet", .isTargetIdle = i % 10 == 0 }, now);
    }
    ratio.recordKeyless({ .service = "stock", .route = "stock-levels", .isTargetIdle = true }, at(20s));
    ratio.recordKeyless({ .service = "stock", .route = "stock-levels", .isTargetIdle = true }, at(20s));
    const auto calls = ratio.callsPerRequest(at(20s));
    REQUIRE(calls);
    CHECK(calls->count("ledger") == 0);
    REQUIRE(calls->count("stock") == 1);
    CHECK(calls->at("stock") >= 1);
}

} // namespace coriandergate::dispatch
