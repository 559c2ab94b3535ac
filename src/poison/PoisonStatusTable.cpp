#include "poison/PoisonStatusTable.h"

#include <algorithm>

namespace coriandergate::poison {

auto PoisonStatusTable::apply(const PoisonStatusUpdate& notice, MonotonicTime now) -> void
{
    auto& shard = m_shards[notice.fingerprint % s_shardCount];
    const MutexLock lock(shard.mutex);
    auto& entries = shard.entries;
    if (entries.size() >= s_entriesPerShard)
        std::erase_if(entries, [now](const auto& entry) { return now >= entry.second.until; });
    const auto found = entries.find(notice.fingerprint);
    const auto isPoison
        = found != entries.end() && found->second.status == PoisonStatus::Poison && now < found->second.until;
    if (isPoison && notice.status != PoisonStatus::Poison)
        return;
    if (notice.status == PoisonStatus::Clear)
        entries.erase(notice.fingerprint);
    else if (found != entries.end() || entries.size() < s_entriesPerShard)
        entries[notice.fingerprint] = { notice.status, now + notice.validFor };
}

auto PoisonStatusTable::statusOf(std::uint64_t fingerprint, MonotonicTime now) const -> PoisonStatus
{
    const auto& shard = m_shards[fingerprint % s_shardCount];
    const MutexLock lock(shard.mutex);
    const auto found = shard.entries.find(fingerprint);
    return found != shard.entries.end() && now < found->second.until ? found->second.status : PoisonStatus::Clear;
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
