#include "balance/Candidate.h"

#include <algorithm>
#include <utility>

namespace coriandergate::balance {

namespace {
    constexpr auto relaxed = std::memory_order_relaxed;
    constexpr auto maxLoadReportAge = std::chrono::duration<float>(2);
    constexpr auto maxLatencyAge = std::chrono::duration<float>(10);
    // Divisors of the moving average of latency: a new sample moves it by 1/5 of the difference when it is slower, and
    // by only 1/10 when it is faster, so that the average follows latency peaks quickly.
    constexpr std::int64_t slowerSampleDivisor = 5;
    constexpr std::int64_t fasterSampleDivisor = 10;

    auto toTicks(MonotonicTime time) -> std::int64_t { return time.time_since_epoch().count(); }

    auto fromTicks(std::int64_t ticks) -> MonotonicTime { return MonotonicTime(MonotonicDuration(ticks)); }

    // freshness() weights a value recorded at `at`: it decreases linearly from 1 to 0 over `maxAge`; 0 if never
    // recorded.
    auto freshness(std::int64_t at, MonotonicTime now, std::chrono::duration<float> maxAge) -> float
    {
        if (at == 0)
            return 0;
        const std::chrono::duration<float> age = now - fromTicks(at);
        return std::clamp(1 - age / maxAge, 0.0f, 1.0f);
    }
}

Candidate::Candidate(TargetDescription description)
    : m_description(std::move(description))
    , m_isDraining(m_description.isDraining)
{
}

auto Candidate::finish(std::chrono::microseconds latency, MonotonicTime now) -> void
{
    m_inFlight.fetch_sub(1, relaxed);
    const auto hasRecentLatency = freshness(m_latencyAt.load(relaxed), now, maxLatencyAge) > 0;
    const auto last = m_latencyMicroseconds.load(relaxed);
    const auto divisor = latency.count() > last ? slowerSampleDivisor : fasterSampleDivisor;
    m_latencyMicroseconds.store(
        hasRecentLatency ? last + (latency.count() - last) / divisor : latency.count(), relaxed);
    m_latencyAt.store(toTicks(now), relaxed);
}

auto Candidate::applyLoadReport(const LoadReport& load, MonotonicTime sentAt, MonotonicTime now) -> void
{
    m_reportedLoad.store(load.busySlots + load.waiting, relaxed);
    m_reportedAt.store(toTicks(now), relaxed);
    m_ejectedUntil.store(load.ejectedFor.count() > 0 ? toTicks(sentAt + load.ejectedFor) : 0, relaxed);
    m_isLessPreferred.store(load.isLessPreferred, relaxed);
    m_isDraining.store(load.isDraining, relaxed);
}

auto Candidate::setAvoidedUntil(MonotonicTime until) -> void { m_avoidedUntil.store(toTicks(until), relaxed); }

auto Candidate::setUnavailableUntil(MonotonicTime until) -> void { m_unavailableUntil.store(toTicks(until), relaxed); }

auto Candidate::canServe(MonotonicTime now) const -> bool
{
    return !isDraining() && now >= fromTicks(m_unavailableUntil.load(relaxed));
}

auto Candidate::isUsable(MonotonicTime now) const -> bool { return now >= ejectedOrAvoidedUntil() && canServe(now); }

auto Candidate::isDraining() const -> bool { return m_isDraining.load(relaxed); }

auto Candidate::ejectedOrAvoidedUntil() const -> MonotonicTime
{
    return fromTicks(std::max(m_ejectedUntil.load(relaxed), m_avoidedUntil.load(relaxed)));
}

auto Candidate::outstandingRequests(MonotonicTime now) const -> float
{
    const auto measured = static_cast<float>(m_inFlight.load(relaxed));
    const auto reported = static_cast<float>(m_reportedLoad.load(relaxed));
    return std::max(measured, reported * freshness(m_reportedAt.load(relaxed), now, maxLoadReportAge));
}

auto Candidate::latency(std::chrono::microseconds fallback, MonotonicTime now) const -> std::chrono::microseconds
{
    const auto weight = freshness(m_latencyAt.load(relaxed), now, maxLatencyAge);
    const auto measured = static_cast<float>(m_latencyMicroseconds.load(relaxed));
    const auto blended = weight * measured + (1 - weight) * static_cast<float>(fallback.count());
    return std::chrono::microseconds(static_cast<std::int64_t>(blended));
}

} // namespace coriandergate::balance
