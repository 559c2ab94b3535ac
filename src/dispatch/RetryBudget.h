// Bounds how many further attempts this entry makes, so that an outage is not multiplied by repeats.
//
// The whole fleet has a ratio of the requests and an allowance for each window; each entry takes its part of the
// allowance and the same ratio of its own requests, so that the parts add up to no more than the whole.
//
// Load pattern: many targets failing at once while callers repeat.
//
// Failures don't spread evenly over entries, so one that has used up its part borrows from others: an attempt that is
// lent counts at the lender, and all parts still add up to no more than the whole.
//
// A run that calls other services repeats its calls too, so these are counted at the services called.
//
//   RetryBudget budget({ .retriesPerRequest = 0.2, .retriesPerWindow = 64, .window = 10s });
//   budget.recordRequest("orders", now);
//   if (budget.tryAcquire("orders", { { "stock", 1.4 } }, RetryBudget::RetryClass::HighPriority, hosts, now)) ...
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
        double retriesPerRequest = 0.2; // further attempts for each request
        double retriesPerWindow = 64; // further attempts in each window, of all hosts together
        std::chrono::milliseconds window { 10000 };
        double lessUrgentPart = 0.85; // of the budget, for less urgent requests
        double trialPart = 0.4; // of the budget, for trials
        double lentPart = 0.7; // of the budget, for attempts of other hosts that have used up theirs
        double usedPart = 0.85; // of both: the rest covers windows that the hosts count at different times
    };

    explicit RetryBudget(const Options& options)
        : m_options(options)
    {
    }

    auto recordRequest(std::string_view service, MonotonicTime now) -> void;

    // RetryClass says how much of the budget an attempt may use up: less urgent requests leave a part for urgent ones,
    // and trials of failing targets, which need a second attempt when they fail, for requests that failed by chance.
    enum class RetryClass {
        HighPriority,
        LowPriority,
        Probe,
        Lent,
    };

    // CallsPerRequest says how many calls of each other service a run makes, on average.
    using CallsPerRequest = std::map<std::string, double, std::less<>>;

    // canAcquire() says whether tryAcquire() would allow it.
    [[nodiscard]] auto canAcquire(std::string_view service, const CallsPerRequest& calls, RetryClass claim,
        std::size_t hosts, MonotonicTime now) -> bool;

    // tryAcquire() allows one further attempt at `service`, whose run makes `calls`, or not. `hosts` is how many share
    // the allowance.
    [[nodiscard]] auto tryAcquire(std::string_view service, const CallsPerRequest& calls, RetryClass claim,
        std::size_t hosts, MonotonicTime now) -> bool;

private:
    struct Counts {
        std::deque<MonotonicTime> requests;
        std::deque<std::pair<MonotonicTime, double>> attempts;
    };

    [[nodiscard]] auto hasRoom(
        std::string_view service, double attempts, double part, std::size_t hosts, MonotonicTime now) -> bool;
    [[nodiscard]] auto partFor(RetryClass claim) const -> double;
    auto counts(std::string_view service, MonotonicTime now) -> Counts&;

    Options m_options;
    std::map<std::string, Counts, std::less<>> m_services;
};

} // namespace coriandergate::dispatch
