#include "dispatch/RetryBudget.h"

#include <algorithm>

namespace coriandergate::dispatch {

auto RetryBudget::currentWindow(std::string_view service, MonotonicTime now) -> Window&
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        found = m_services.emplace(std::string(service), Window {}).first;
    auto& [requests, retries] = found->second;
    const auto oldest = now - m_options.window;
    while (!requests.empty() && requests.front() < oldest)
        requests.pop_front();
    while (!retries.empty() && retries.front().first < oldest)
        retries.pop_front();
    return found->second;
}

auto RetryBudget::recordRequest(std::string_view service, MonotonicTime now) -> void
{
    currentWindow(service, now).requests.push_back(now);
}

auto RetryBudget::budgetFraction(RetryClass retryClass) const -> double
{
    switch (retryClass) {
    case RetryClass::HighPriority:
        return 1;
    case RetryClass::LowPriority:
        return m_options.lowPriorityFraction;
    case RetryClass::Probe:
        return m_options.probeFraction;
    case RetryClass::Lent:
        return m_options.lendableFraction;
    }
    return 1;
}

auto RetryBudget::usage(std::string_view service, std::size_t hostCount, MonotonicTime now) -> Usage
{
    const auto& window = currentWindow(service, now);
    const bool hasFixedShare = now >= m_fixedShareFrom;
    const double fixedShare
        = hasFixedShare ? m_options.retriesPerWindow / static_cast<double>(std::max<std::size_t>(1, hostCount)) : 0;
    const double budget = m_options.usableFraction
        * (m_options.retriesPerRequest * static_cast<double>(window.requests.size()) + fixedShare);
    double used = 0;
    for (const auto& [time, count] : window.retries)
        used += count;
    return { .budget = budget, .used = used };
}

auto RetryBudget::remaining(std::string_view service, std::size_t hostCount, MonotonicTime now) -> double
{
    const auto [budget, used] = usage(service, hostCount, now);
    return budget - used;
}

auto RetryBudget::hasBudget(
    std::string_view service, double retries, double fraction, std::size_t hostCount, MonotonicTime now) -> bool
{
    const auto [budget, used] = usage(service, hostCount, now);
    return used + retries <= fraction * budget;
}

auto RetryBudget::canAcquire(std::string_view service, const CallsPerRequest& calls, RetryClass retryClass,
    std::size_t hostCount, MonotonicTime now) -> bool
{
    const double fraction = budgetFraction(retryClass);
    if (!hasBudget(service, 1, fraction, hostCount, now))
        return false;
    return std::all_of(calls.begin(), calls.end(), [this, fraction, hostCount, now](const auto& call) {
        return hasBudget(call.first, call.second, fraction, hostCount, now);
    });
}

auto RetryBudget::tryAcquire(std::string_view service, const CallsPerRequest& calls, RetryClass retryClass,
    std::size_t hostCount, MonotonicTime now) -> bool
{
    if (!canAcquire(service, calls, retryClass, hostCount, now))
        return false;
    currentWindow(service, now).retries.emplace_back(now, 1);
    for (const auto& [calledService, count] : calls)
        currentWindow(calledService, now).retries.emplace_back(now, count);
    return true;
}

} // namespace coriandergate::dispatch
