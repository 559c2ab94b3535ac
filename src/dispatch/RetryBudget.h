// Limits how many retries this entry daemon makes, so that an outage doesn't multiply the load.
//
// The budget of the whole fleet is a ratio of its requests plus a fixed number of retries per window. Each host has a
// token bucket for each service: tokens accrue with its requests and, for its equal share of the fixed number, with
// time. A part of either may be saved up; what accrues within any window and what was saved before it add up to no more
// than the whole budget. That holds for any window, and a new process begins without tokens, so restarts renew nothing.
//
// Load pattern: many targets fail at once while callers retry, and daemons are restarted meanwhile.
//
// Failures aren't spread evenly over the hosts, so a host without tokens borrows from others. A lent retry takes a
// token of the lender.
//
// A request that calls other services repeats these calls when it is retried, so they count against the budgets of the
// called services.
//
//   RetryBudget budget({ .retriesPerRequest = 0.2, .retriesPerWindow = 64, .window = 10s });
//   budget.recordRequest("orders", hostCount, now);
//   if (budget.tryAcquire("orders", { { "stock", 1.4 } }, RetryBudget::RetryClass::HighPriority, hostCount, now)) ...
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <deque>
#include <limits>
#include <map>
#include <string>
#include <string_view>

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
        // The rest covers retries that arrive later than they are charged, and calls that differ from their mean.
        double usableFraction = 0.95; // of the whole budget
        // What isn't saved is granted as it accrues: with each request, or over the window.
        double savedRatioFraction = 0.15; // of retriesPerRequest, may be saved for the requests of a window
        double savedFixedFraction = 0.7; // of the share of retriesPerWindow, may be saved
    };

    explicit RetryBudget(const Options& options)
        : m_options(options)
    {
    }

    // onRestart() says that an earlier process of this host, or of another one, may have used up what was saved.
    auto onRestart(MonotonicTime now) -> void;

    // recordRequest() counts a request for `service`, which adds to its budget. `hostCount` is as in tryAcquire().
    auto recordRequest(std::string_view service, std::size_t hostCount, MonotonicTime now) -> void;

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
    // Bucket holds what this host may spend on retries at a service.
    struct Bucket {
        double tokens = 0; // one for each retry
        MonotonicTime updatedAt;
        std::deque<MonotonicTime> requests; // of the last window
    };

    auto bucketOf(std::string_view service) -> Bucket&;
    [[nodiscard]] auto fixedShare(std::size_t hostCount) const -> double;
    [[nodiscard]] auto capacity(const Bucket& bucket, std::size_t hostCount) const -> double;
    auto refill(Bucket& bucket, std::size_t hostCount, MonotonicTime now) const -> void;
    [[nodiscard]] auto hasTokens(
        std::string_view service, double retries, double fraction, std::size_t hostCount, MonotonicTime now) -> bool;
    [[nodiscard]] auto budgetFraction(RetryClass retryClass) const -> double;

    Options m_options;
    double m_initialTokens = std::numeric_limits<double>::max(); // limited by the capacity
    MonotonicTime m_startedAt;
    std::map<std::string, Bucket, std::less<>> m_buckets;
};

} // namespace coriandergate::dispatch
