#include "dispatch/RetryBudget.h"

#include <algorithm>

namespace coriandergate::dispatch {

auto RetryBudget::counts(std::string_view service, MonotonicTime now) -> Counts&
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        found = m_services.emplace(std::string(service), Counts {}).first;
    auto& [requests, attempts] = found->second;
    const auto oldest = now - m_options.window;
    while (!requests.empty() && requests.front() < oldest)
        requests.pop_front();
    while (!attempts.empty() && attempts.front().first < oldest)
        attempts.pop_front();
    return found->second;
}

auto RetryBudget::recordRequest(std::string_view service, MonotonicTime now) -> void
{
    counts(service, now).requests.push_back(now);
}

auto RetryBudget::partFor(RetryClass claim) const -> double
{
    switch (claim) {
    case RetryClass::HighPriority:
        return 1;
    case RetryClass::LowPriority:
        return m_options.lessUrgentPart;
    case RetryClass::Probe:
        return m_options.trialPart;
    case RetryClass::Lent:
        return m_options.lentPart;
    }
    return 1;
}

auto RetryBudget::hasRoom(std::string_view service, double attempts, double part, std::size_t hosts, MonotonicTime now)
    -> bool
{
    const auto& window = counts(service, now);
    const double allowance = m_options.retriesPerWindow / static_cast<double>(std::max<std::size_t>(1, hosts));
    const double allowed
        = m_options.usedPart * (m_options.retriesPerRequest * static_cast<double>(window.requests.size()) + allowance);
    double made = 0;
    for (const auto& [time, count] : window.attempts)
        made += count;
    return made + attempts <= part * allowed;
}

auto RetryBudget::canAcquire(std::string_view service, const CallsPerRequest& calls, RetryClass claim,
    std::size_t hosts, MonotonicTime now) -> bool
{
    const double part = partFor(claim);
    if (!hasRoom(service, 1, part, hosts, now))
        return false;
    return std::all_of(calls.begin(), calls.end(),
        [this, part, hosts, now](const auto& call) { return hasRoom(call.first, call.second, part, hosts, now); });
}

auto RetryBudget::tryAcquire(std::string_view service, const CallsPerRequest& calls, RetryClass claim,
    std::size_t hosts, MonotonicTime now) -> bool
{
    if (!canAcquire(service, calls, claim, hosts, now))
        return false;
    counts(service, now).attempts.emplace_back(now, 1);
    for (const auto& [called, count] : calls)
        counts(called, now).attempts.emplace_back(now, count);
    return true;
}

} // namespace coriandergate::dispatch
