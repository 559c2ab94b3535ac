#include "poison/PoisonStatusTable.h"

#include <algorithm>

namespace coriandergate::poison {

auto PoisonStatusTable::apply(const PoisonStatusUpdate& update, MonotonicTime now) -> void
{
    auto& shard = m_shards[update.fingerprint % s_shardCount];
    const MutexLock lock(shard.mutex);
    auto& entries = shard.entries;
    if (entries.size() >= s_maximumEntriesPerShard)
        std::erase_if(entries, [now](const auto& entry) { return now >= entry.second.expiresAt; });
    const auto found = entries.find(update.fingerprint);
    const auto isPoison
        = found != entries.end() && found->second.status == PoisonStatus::Poison && now < found->second.expiresAt;
    if (isPoison && update.status != PoisonStatus::Poison)
        return;
    if (update.status == PoisonStatus::Clear)
        entries.erase(update.fingerprint);
    else if (found != entries.end() || entries.size() < s_maximumEntriesPerShard)
        entries[update.fingerprint] = { update.status, now + update.validFor };
}

auto PoisonStatusTable::statusOf(std::uint64_t fingerprint, MonotonicTime now) const -> PoisonStatus
{
    const auto& shard = m_shards[fingerprint % s_shardCount];
    const MutexLock lock(shard.mutex);
    const auto found = shard.entries.find(fingerprint);
    return found != shard.entries.end() && now < found->second.expiresAt ? found->second.status : PoisonStatus::Clear;
}

auto PoisonStatusTable::size() const -> std::size_t
{
    std::size_t size = 0;
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard.mutex);
        size += shard.entries.size();
    }
    return size;
}

} // namespace coriandergate::poison
