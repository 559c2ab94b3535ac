#include "dispatch/AttemptBudget.h"

#include <algorithm>

namespace coriandergate::dispatch {

namespace {

    auto dropBefore(std::deque<MonotonicTime>& times, MonotonicTime oldest) -> void
    {
        while (!times.empty() && times.front() < oldest)
            times.pop_front();
    }

} // namespace

auto AttemptBudget::counts(std::string_view service, MonotonicTime now) -> Counts&
{
    auto found = m_services.find(service);
    if (found == m_services.end())
        found = m_services.emplace(std::string(service), Counts {}).first;
    dropBefore(found->second.requests, now - m_options.window);
    dropBefore(found->second.attempts, now - m_options.window);
    return found->second;
}

auto AttemptBudget::recordRequest(std::string_view service, MonotonicTime now) -> void
{
    counts(service, now).requests.push_back(now);
}

auto AttemptBudget::take(std::string_view service, std::size_t hosts, MonotonicTime now) -> bool
{
    auto& window = counts(service, now);
    const double allowance = m_options.allowance / static_cast<double>(std::max<std::size_t>(1, hosts));
    const double allowed
        = m_options.usedPart * (m_options.ratio * static_cast<double>(window.requests.size()) + allowance);
    if (static_cast<double>(window.attempts.size()) + 1 > allowed)
        return false;
    window.attempts.push_back(now);
    return true;
}

} // namespace coriandergate::dispatch
