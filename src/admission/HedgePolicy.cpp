#include "admission/HedgePolicy.h"

#include "base/Hash.h"
#include "dispatch/ServiceTimeHistogram.h"

#include <algorithm>
#include <map>
#include <string>

namespace coriandergate::admission {

struct HedgePolicy::Shard {
    Mutex mutex;
    std::map<std::string, dispatch::ServiceTimeHistogram, std::less<>> services GUARDED_BY(mutex);
};

HedgePolicy::HedgePolicy(Options options)
    : m_options(options)
{
    for (auto& shard : m_shards)
        shard = std::make_unique<Shard>();
}

HedgePolicy::~HedgePolicy() = default;

auto HedgePolicy::recordServiceTime(std::string_view service, MonotonicDuration serviceTime) -> void
{
    auto& shard = shardOf(service);
    const MutexLock lock(shard.mutex);
    auto found = shard.services.find(service);
    if (found == shard.services.end())
        found = shard.services.emplace(std::string(service), dispatch::ServiceTimeHistogram {}).first;
    found->second.record(serviceTime);
}

auto HedgePolicy::hedgeDelay(std::string_view service, config::RepeatPolicy repeatPolicy, const Deadline& deadline,
    MonotonicTime now) const -> std::optional<MonotonicDuration>
{
    if (!m_options.isEnabled || repeatPolicy != config::RepeatPolicy::Idempotent)
        return std::nullopt;
    auto& shard = shardOf(service);
    const MutexLock lock(shard.mutex);
    const auto found = shard.services.find(service);
    if (found == shard.services.end() || found->second.count() < m_options.minimumSamples)
        return std::nullopt;
    const auto delay = std::max(found->second.p95(), m_options.minimumDelay);
    if (deadline.remaining(now) < delay + found->second.mean())
        return std::nullopt;
    return delay;
}

auto HedgePolicy::shardOf(std::string_view service) const -> Shard&
{
    return *m_shards[hashOf(service) % s_shardCount];
}

} // namespace coriandergate::admission
