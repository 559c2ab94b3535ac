// Limits how many retries this entry daemon makes, so that an outage doesn't multiply the load.
//
// The budget of the whole fleet is a ratio of its requests plus a fixed number of retries per window. Each host gets an
// equal share of the fixed number and applies the ratio to its own requests, so the shares add up to no more than the
// whole.
//
// Load pattern: many targets fail at once while callers retry.
//
// Failures aren't spread evenly over the hosts, so a host that has used up its share borrows from others. A lent retry
// counts against the lender, so all shares still add up to no more than the whole.
//
// A host whose daemon was restarted has no fixed share for one window, since the earlier process may have used it up;
// else restarts of many hosts would renew the fixed number.
//
// A request that calls other services repeats these calls when it is retried, so they count against the budgets of the
// called services.
//
//   RetryBudget budget({ .retriesPerRequest = 0.2, .retriesPerWindow = 64, .window = 10s });
//   budget.recordRequest("orders", now);
//   if (budget.tryAcquire("orders", { { "stock", 1.4 } }, RetryBudget::RetryClass::HighPriority, hostCount, now)) ...
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace coriandergate::dispatch {

// RetryBudget is used by one thread.
class RetryBudget {
public:
    struct Options {
        double retriesPerRequest = 0.2;
        double retriesPerWindow = 64; // of all hosts together, on top of retriesPerRequest
        std::chrono::milliseconds window { 10000 };
        double lowPriorityFraction = 0.85; // of the budget, available to low-priority requests
        double probeFraction = 0.4; // of the budget, available to probes
        double lendableFraction = 0.7; // of the budget, available to other hosts that have used up theirs
        double usableFraction = 0.85; // of the whole budget; a margin, since the hosts' windows aren't aligned
    };

    explicit RetryBudget(const Options& options)
        : m_options(options)
    {
    }

    // onRestart() says that an earlier process of this host may have used up its share of the fixed number.
    auto onRestart(MonotonicTime now) -> void { m_fixedShareFrom = now + m_options.window; }

    // recordRequest() counts a request for `service`, which adds to its budget.
    auto recordRequest(std::string_view service, MonotonicTime now) -> void;

    // RetryClass selects how much of the budget a retry may use up. Low-priority requests leave a part for
    // high-priority ones. Probes of failing targets need a retry when they fail, so they leave a part for requests that
    // failed by chance.
    enum class RetryClass {
        HighPriority,
        LowPriority,
        Probe,
        Lent,
    };

    // CallsPerRequest is the mean number of calls to each other service that a request makes.
    using CallsPerRequest = std::map<std::string, double, std::less<>>;

    // canAcquire() returns whether tryAcquire() would succeed, and uses up nothing.
    [[nodiscard]] auto canAcquire(std::string_view service, const CallsPerRequest& calls, RetryClass retryClass,
        std::size_t hostCount, MonotonicTime now) -> bool;

    // remaining() returns the number of high-priority retries that are left at `service` now.
    [[nodiscard]] auto remaining(std::string_view service, std::size_t hostCount, MonotonicTime now) -> double;

    // tryAcquire() takes one retry at `service`, and the `calls` that it makes, from the budgets; false when a budget
    // is exhausted. `hostCount` is the number of hosts that share the budget.
    [[nodiscard]] auto tryAcquire(std::string_view service, const CallsPerRequest& calls, RetryClass retryClass,
        std::size_t hostCount, MonotonicTime now) -> bool;

private:
    struct Window {
        std::deque<MonotonicTime> requests;
        std::deque<std::pair<MonotonicTime, double>> retries;
    };

    struct Usage {
        double budget = 0;
        double used = 0;
    };

    [[nodiscard]] auto usage(std::string_view service, std::size_t hostCount, MonotonicTime now) -> Usage;
    [[nodiscard]] auto hasBudget(
        std::string_view service, double retries, double fraction, std::size_t hostCount, MonotonicTime now) -> bool;
    [[nodiscard]] auto budgetFraction(RetryClass retryClass) const -> double;
    auto currentWindow(std::string_view service, MonotonicTime now) -> Window&;

    Options m_options;
    MonotonicTime m_fixedShareFrom;
    std::map<std::string, Window, std::less<>> m_services;
};

} // namespace coriandergate::dispatch
