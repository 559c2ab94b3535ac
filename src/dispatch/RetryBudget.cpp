#include "dispatch/RetryBudget.h"

#include <algorithm>

namespace coriandergate::dispatch {

// A bucket is full at the first start of the fleet, before its first window.
auto RetryBudget::bucketOf(std::string_view service) -> Bucket&
{
    auto found = m_buckets.find(service);
    if (found == m_buckets.end())
        found = m_buckets.emplace(std::string(service), Bucket { .tokens = m_initialTokens, .updatedAt = m_startedAt })
                    .first;
    return found->second;
}

auto RetryBudget::onRestart(MonotonicTime now) -> void
{
    m_buckets.clear();
    m_initialTokens = 0;
    m_startedAt = now;
}

auto RetryBudget::fixedShare(std::size_t hostCount) const -> double
{
    return m_options.usableFraction * m_options.retriesPerWindow
        / static_cast<double>(std::max<std::size_t>(1, hostCount));
}

auto RetryBudget::capacity(const Bucket& bucket, std::size_t hostCount) const -> double
{
    return m_options.savedFixedFraction * fixedShare(hostCount)
        + m_options.usableFraction * m_options.savedRatioFraction * m_options.retriesPerRequest
        * static_cast<double>(bucket.requests.size());
}

auto RetryBudget::refill(Bucket& bucket, std::size_t hostCount, MonotonicTime now) const -> void
{
    const auto oldest = now - m_options.window;
    while (!bucket.requests.empty() && bucket.requests.front() < oldest)
        bucket.requests.pop_front();
    const std::chrono::duration<double> elapsed = now - bucket.updatedAt;
    bucket.updatedAt = now;
    const double refilled = (1 - m_options.savedFixedFraction) * fixedShare(hostCount)
        * (elapsed / std::chrono::duration<double>(m_options.window));
    bucket.tokens = std::min(bucket.tokens + std::max(0.0, refilled), capacity(bucket, hostCount));
}

auto RetryBudget::recordRequest(std::string_view service, std::size_t hostCount, MonotonicTime now) -> void
{
    auto& bucket = bucketOf(service);
    refill(bucket, hostCount, now);
    bucket.requests.push_back(now);
    bucket.tokens = std::min(
        bucket.tokens + m_options.usableFraction * (1 - m_options.savedRatioFraction) * m_options.retriesPerRequest,
        capacity(bucket, hostCount));
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

auto RetryBudget::remaining(std::string_view service, std::size_t hostCount, MonotonicTime now) -> double
{
    auto& bucket = bucketOf(service);
    refill(bucket, hostCount, now);
    return bucket.tokens;
}

// A full bucket serves every class, since its tokens would be lost otherwise.
auto RetryBudget::hasTokens(
    std::string_view service, double retries, double fraction, std::size_t hostCount, MonotonicTime now) -> bool
{
    auto& bucket = bucketOf(service);
    refill(bucket, hostCount, now);
    const double reserved = (1 - fraction) * capacity(bucket, hostCount);
    const double needed = std::min(retries + reserved, std::max(retries, capacity(bucket, hostCount)));
    return bucket.tokens >= needed;
}

auto RetryBudget::canAcquire(std::string_view service, const CallsPerRequest& calls, RetryClass retryClass,
    std::size_t hostCount, MonotonicTime now) -> bool
{
    const double fraction = budgetFraction(retryClass);
    const auto callsBack = calls.find(service); // the calls of calls may lead back to the service itself
    const double ownTokens = callsBack == calls.end() ? 1 : 1 + callsBack->second;
    if (!hasTokens(service, ownTokens, fraction, hostCount, now))
        return false;
    return std::all_of(calls.begin(), calls.end(), [&](const auto& call) {
        return call.first == service || hasTokens(call.first, call.second, fraction, hostCount, now);
    });
}

auto RetryBudget::tryAcquire(std::string_view service, const CallsPerRequest& calls, RetryClass retryClass,
    std::size_t hostCount, MonotonicTime now) -> bool
{
    if (!canAcquire(service, calls, retryClass, hostCount, now))
        return false;
    bucketOf(service).tokens -= 1;
    for (const auto& [calledService, count] : calls)
        bucketOf(calledService).tokens -= count;
    return true;
}

} // namespace coriandergate::dispatch
