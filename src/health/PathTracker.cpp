#include "health/PathTracker.h"

#include "base/Hash.h"

#include <algorithm>

namespace coriandergate::health {

namespace {
    constexpr auto observationsUntilFading = 4000.0f;
    constexpr auto observationsNeeded = 20.0f;
    constexpr auto creditOfGood = 0.5f;
}

PathTracker::PathTracker(const Options& options)
    : m_options(options)
{
}

auto PathTracker::observe(
    std::string_view host, const Locality& locality, std::chrono::microseconds path, MonotonicTime now) -> void
{
    const auto limit = slowFrom(locality, path);
    note(host, path > limit, now);
}

auto PathTracker::observeLoss(std::string_view host, MonotonicTime now) -> void { note(host, true, now); }

auto PathTracker::isAvoided(std::string_view host, MonotonicTime now) const -> bool
{
    const auto& shard = m_shards[shardOf(host)];
    const MutexLock lock(shard.mutex);
    const auto found = shard.paths.find(std::string(host));
    return found != shard.paths.end() && !found->second.hold.isOver(now);
}

auto PathTracker::shardOf(std::string_view host) const -> std::size_t { return hashOf(host) % s_shardCount; }

auto PathTracker::slowFrom(const Locality& locality, std::chrono::microseconds path) -> std::chrono::microseconds
{
    const MutexLock lock(m_normalMutex);
    auto& normal = m_normal[locality];
    const auto median = normal.quantile(0.5);
    const auto isKnown = normal.total() >= observationsNeeded;
    normal.add(path);
    if (normal.total() > observationsUntilFading)
        normal.scale(0.5f);
    if (!isKnown)
        return std::chrono::microseconds::max();
    const auto limit
        = std::chrono::duration<double, std::micro>(m_options.slowFactor * static_cast<double>(median.count()));
    return std::max(m_options.slowLeast, std::chrono::duration_cast<std::chrono::microseconds>(limit));
}

auto PathTracker::note(std::string_view host, bool isBad, MonotonicTime now) -> void
{
    auto& shard = m_shards[shardOf(host)];
    const MutexLock lock(shard.mutex);
    const auto found = shard.paths.find(std::string(host));
    if (found == shard.paths.end() && !isBad)
        return;
    auto& path = found == shard.paths.end() ? shard.paths[std::string(host)] : found->second;
    path.score = isBad ? path.score + 1 : std::max(0.0f, path.score - creditOfGood);
    if (path.score < m_options.scoreUntilAvoided || !path.hold.isOver(now))
        return;
    path.hold.begin(m_options.hold, now);
    path.score = m_options.scoreUntilAvoided - 1; // one more bad observation after the hold is enough
}

} // namespace coriandergate::health
