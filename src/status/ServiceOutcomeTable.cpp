#include "status/ServiceOutcomeTable.h"

#include "base/Hash.h"

namespace coriandergate::status {

auto ServiceOutcomeTable::shardOf(std::string_view service) -> Shard&
{
    return m_shards[hashOf(service) % s_shardCount];
}

auto ServiceOutcomeTable::recordResponse(std::string_view service, MonotonicTime now) -> void
{
    auto& shard = shardOf(service);
    const MutexLock lock(shard.mutex);
    shard.entries[std::string(service)].lastResponseAt = now;
}

auto ServiceOutcomeTable::recordRefusal(std::string_view service, MonotonicTime now) -> void
{
    auto& shard = shardOf(service);
    const MutexLock lock(shard.mutex);
    shard.entries[std::string(service)].lastRefusalAt = now;
}

auto ServiceOutcomeTable::find(std::string_view service) const -> Entry
{
    const auto& shard = m_shards[hashOf(service) % s_shardCount];
    const MutexLock lock(shard.mutex);
    const auto entry = shard.entries.find(service);
    return entry == shard.entries.end() ? Entry {} : entry->second;
}

} // namespace coriandergate::status
