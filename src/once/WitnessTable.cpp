#include "once/WitnessTable.h"

#include <map>
#include <unordered_map>

namespace coriandergate::once {

struct WitnessTable::Shard {
    REQUIRES(mutex) auto removeExpiredLocked(MonotonicTime limit) -> void
    {
        while (!attemptsByOpenTime.empty() && attemptsByOpenTime.begin()->first <= limit) {
            records.erase(attemptsByOpenTime.begin()->second);
            attemptsByOpenTime.erase(attemptsByOpenTime.begin());
        }
    }

    REQUIRES(mutex) auto removeLocked(const AttemptId& attempt) -> void
    {
        const auto found = records.find(attempt);
        if (found == records.end())
            return;
        const auto [first, last] = attemptsByOpenTime.equal_range(found->second.openedAt);
        for (auto entry = first; entry != last; ++entry) {
            if (entry->second == attempt) {
                attemptsByOpenTime.erase(entry);
                break;
            }
        }
        records.erase(found);
    }

    mutable Mutex mutex;
    std::unordered_map<AttemptId, AttemptRecord, AttemptIdHash> records GUARDED_BY(mutex);
    std::multimap<MonotonicTime, AttemptId> attemptsByOpenTime GUARDED_BY(mutex);
    bool isHandedOver GUARDED_BY(mutex) = false;
};

WitnessTable::WitnessTable(Options options)
    : m_options(options)
{
    for (auto& shard : m_shards)
        shard = std::make_unique<Shard>();
}

WitnessTable::~WitnessTable() = default;

auto WitnessTable::add(const AttemptRecord& record, MonotonicTime now) -> bool
{
    auto& shard = shardOf(record.attempt);
    const MutexLock lock(shard.mutex);
    if (shard.isHandedOver)
        return false;
    shard.removeExpiredLocked(now - m_options.retention);
    if (shard.records.contains(record.attempt))
        return true;
    if (shard.records.size() >= m_options.maximumRecords / s_shardCount)
        return false;
    shard.records.emplace(record.attempt, record);
    shard.attemptsByOpenTime.emplace(record.openedAt, record.attempt);
    return true;
}

auto WitnessTable::recordOutcome(const AttemptId& attempt, const AttemptOutcome& outcome) -> void
{
    auto& shard = shardOf(attempt);
    const MutexLock lock(shard.mutex);
    const auto found = shard.records.find(attempt);
    if (found == shard.records.end() || std::holds_alternative<Ran>(found->second.outcome))
        return;
    if (std::holds_alternative<NotRun>(outcome)) {
        shard.removeLocked(attempt);
        return;
    }
    found->second.outcome = outcome;
    if (auto* ran = std::get_if<Ran>(&found->second.outcome))
        ran->response.reset();
}

auto WitnessTable::recordsOf(unsigned seat, unsigned seatCount, MonotonicTime now) const -> std::vector<AttemptRecord>
{
    auto records = allRecords(now);
    std::erase_if(records, [&](const AttemptRecord& record) { return seatOf(record.key, seatCount) != seat; });
    return records;
}

auto WitnessTable::allRecords(MonotonicTime now) const -> std::vector<AttemptRecord>
{
    std::vector<AttemptRecord> records;
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard->mutex);
        for (const auto& [attempt, record] : shard->records) {
            if (record.openedAt > now - m_options.retention)
                records.push_back(record);
        }
    }
    return records;
}

auto WitnessTable::handOver(MonotonicTime now) -> std::vector<AttemptRecord>
{
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard->mutex);
        shard->isHandedOver = true;
    }
    return allRecords(now);
}

auto WitnessTable::size() const -> std::size_t
{
    std::size_t size = 0;
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard->mutex);
        size += shard->records.size();
    }
    return size;
}

auto WitnessTable::shardOf(const AttemptId& attempt) const -> Shard&
{
    return *m_shards[AttemptIdHash {}(attempt) / 64 % s_shardCount]; // the low bits of the hash are the least mixed
}

} // namespace coriandergate::once
