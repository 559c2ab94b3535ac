#include "health/PathTracker.h"

#include "base/Hash.h"

#include <algorithm>

namespace coriandergate::health {

namespace {
    constexpr auto maxObservationsBeforeDecay = 4000.0f; // then all counts are halved, to follow changes
    constexpr auto minObservations = 20.0f; // of a data centre, before any of its paths counts as slow
    constexpr auto goodObservationCredit = 0.5f;
}

PathTracker::PathTracker(const Options& options)
    : m_options(options)
{
}

auto PathTracker::observe(
    std::string_view host, const Locality& locality, std::chrono::microseconds latency, MonotonicTime now) -> void
{
    const auto slowThreshold = updateSlowThreshold(locality, latency);
    recordObservation(host, latency > slowThreshold, now);
}

auto PathTracker::observeLoss(std::string_view host, MonotonicTime now) -> void { recordObservation(host, true, now); }

auto PathTracker::isAvoided(std::string_view host, MonotonicTime now) const -> bool
{
    const auto& shard = m_shards[shardOf(host)];
    const MutexLock lock(shard.mutex);
    const auto found = shard.paths.find(std::string(host));
    return found != shard.paths.end() && !found->second.backoff.hasElapsed(now);
}

auto PathTracker::shardOf(std::string_view host) const -> std::size_t { return hashOf(host) % s_shardCount; }

auto PathTracker::updateSlowThreshold(const Locality& locality, std::chrono::microseconds latency)
    -> std::chrono::microseconds
{
    const MutexLock lock(m_latenciesMutex);
    auto& latencies = m_latencies[locality];
    const auto median = latencies.quantile(0.5);
    const auto hasEnoughObservations = latencies.total() >= minObservations;
    latencies.add(latency);
    if (latencies.total() > maxObservationsBeforeDecay)
        latencies.scale(0.5f);
    if (!hasEnoughObservations)
        return std::chrono::microseconds::max();
    const auto threshold
        = std::chrono::duration<double, std::micro>(m_options.slowFactor * static_cast<double>(median.count()));
    return std::max(m_options.minSlowLatency, std::chrono::duration_cast<std::chrono::microseconds>(threshold));
}

auto PathTracker::recordObservation(std::string_view host, bool isBad, MonotonicTime now) -> void
{
    auto& shard = m_shards[shardOf(host)];
    const MutexLock lock(shard.mutex);
    const auto found = shard.paths.find(std::string(host));
    if (found == shard.paths.end() && !isBad)
        return;
    auto& path = found == shard.paths.end() ? shard.paths[std::string(host)] : found->second;
    path.score = isBad ? path.score + 1 : std::max(0.0f, path.score - goodObservationCredit);
    if (path.score < m_options.avoidanceScore || !path.backoff.hasElapsed(now))
        return;
    path.backoff.start(m_options.avoidanceTime, now);
    path.score = m_options.avoidanceScore - 1; // after the avoidance time, one bad observation is enough
}

} // namespace coriandergate::health
