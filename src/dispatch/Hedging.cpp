#include "dispatch/Hedging.h"

#include <algorithm>

namespace coriandergate::dispatch {

using std::chrono::milliseconds;

auto Hedging::recordRequest(std::string_view service) -> void
{
    if (m_options.limit <= 0)
        return;
    auto found = m_allowance.find(service);
    if (found == m_allowance.end())
        found = m_allowance.emplace(service, 0).first;
    found->second = std::min(m_options.maximumSaved, found->second + m_options.limit);
}

auto Hedging::recordResponse(std::string_view route, milliseconds responseTime) -> void
{
    if (m_options.limit <= 0)
        return;
    auto found = m_responseTimes.find(route);
    if (found == m_responseTimes.end())
        found = m_responseTimes.emplace(route, ServiceTimeHistogram {}).first;
    found->second.record(responseTime);
}

auto Hedging::delay(const Request& request) const -> std::optional<milliseconds>
{
    if (m_options.limit <= 0)
        return std::nullopt;
    const auto found = m_responseTimes.find(request.route);
    const bool isKnown = found != m_responseTimes.end() && found->second.count() >= m_options.minimumSamples;
    const auto quantile
        = [&](double fraction) { return std::chrono::duration_cast<milliseconds>(found->second.quantile(fraction)); };
    const auto median = isKnown
        ? quantile(0.5)
        : std::chrono::duration_cast<milliseconds>(request.targetLatencyLeft * m_options.assumedMedian);
    const auto slow = isKnown ? quantile(m_options.slowQuantile) : milliseconds { 0 };
    const auto delay = std::max({ slow, request.targetLatencyLeft - median, m_options.minimumDelay });
    if (delay + median >= request.timeLeft)
        return std::nullopt;
    return delay;
}

auto Hedging::canAcquire(std::string_view service, double meanUtilization) const -> bool
{
    const auto found = m_allowance.find(service);
    return found != m_allowance.end() && found->second >= 1 && meanUtilization <= m_options.maximumUtilization;
}

auto Hedging::tryAcquire(std::string_view service, double meanUtilization) -> bool
{
    if (!canAcquire(service, meanUtilization))
        return false;
    m_allowance.find(service)->second -= 1;
    return true;
}

} // namespace coriandergate::dispatch
