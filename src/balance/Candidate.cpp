#include "balance/Candidate.h"

#include <algorithm>
#include <utility>

namespace coriandergate::balance {

namespace {
    constexpr auto relaxed = std::memory_order_relaxed;
    constexpr auto loadLifetime = std::chrono::duration<float>(2);
    constexpr auto latencyLifetime = std::chrono::duration<float>(10);
    constexpr std::int64_t latencyWeight = 5; // a new observation counts for one in so many
    constexpr std::int64_t fallWeight = 10; // and for less when it is better: peaks are believed at once

    auto ticks(MonotonicTime time) -> std::int64_t { return time.time_since_epoch().count(); }

    auto timeOf(std::int64_t ticks) -> MonotonicTime { return MonotonicTime(MonotonicDuration(ticks)); }

    // freshness() falls from one to zero over `lifetime`.
    auto freshness(std::int64_t at, MonotonicTime now, std::chrono::duration<float> lifetime) -> float
    {
        if (at == 0)
            return 0;
        const std::chrono::duration<float> age = now - timeOf(at);
        return std::clamp(1 - age / lifetime, 0.0f, 1.0f);
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
    const auto isKnown = freshness(m_latencyAt.load(relaxed), now, latencyLifetime) > 0;
    const auto last = m_latency.load(relaxed);
    const auto weight = latency.count() > last ? latencyWeight : fallWeight;
    m_latency.store(isKnown ? last + (latency.count() - last) / weight : latency.count(), relaxed);
    m_latencyAt.store(ticks(now), relaxed);
}

auto Candidate::applyLoadReport(const LoadReport& load, MonotonicTime sentAt, MonotonicTime now) -> void
{
    m_reported.store(load.busySlots + load.queued, relaxed);
    m_reportedAt.store(ticks(now), relaxed);
    m_ejectedUntil.store(load.ejectedFor.count() > 0 ? ticks(sentAt + load.ejectedFor) : 0, relaxed);
    m_isLessPreferred.store(load.isLessPreferred, relaxed);
    m_isDraining.store(load.isDraining, relaxed);
}

auto Candidate::setAvoidedUntil(MonotonicTime until) -> void { m_avoidedUntil.store(ticks(until), relaxed); }

auto Candidate::setUnavailableUntil(MonotonicTime until) -> void { m_goneUntil.store(ticks(until), relaxed); }

auto Candidate::canServe(MonotonicTime now) const -> bool
{
    return !isDraining() && now >= timeOf(m_goneUntil.load(relaxed));
}

auto Candidate::isUsable(MonotonicTime now) const -> bool { return now >= unusableUntil() && canServe(now); }

auto Candidate::isDraining() const -> bool { return m_isDraining.load(relaxed); }

auto Candidate::unusableUntil() const -> MonotonicTime
{
    return timeOf(std::max(m_ejectedUntil.load(relaxed), m_avoidedUntil.load(relaxed)));
}

auto Candidate::outstanding(MonotonicTime now) const -> float
{
    const auto own = static_cast<float>(m_inFlight.load(relaxed));
    const auto reported = static_cast<float>(m_reported.load(relaxed));
    return std::max(own, reported * freshness(m_reportedAt.load(relaxed), now, loadLifetime));
}

auto Candidate::latency(std::chrono::microseconds usual, MonotonicTime now) const -> std::chrono::microseconds
{
    const auto weight = freshness(m_latencyAt.load(relaxed), now, latencyLifetime);
    const auto own = static_cast<float>(m_latency.load(relaxed));
    const auto mixed = weight * own + (1 - weight) * static_cast<float>(usual.count());
    return std::chrono::microseconds(static_cast<std::int64_t>(mixed));
}

} // namespace coriandergate::balance
