#include "once/IdempotencyTable.h"

#include "once/internal/SeatTable.h"

#include <map>
#include <utility>

namespace coriandergate::once {

struct IdempotencyTable::Shard {
    REQUIRES(mutex) auto findLocked(unsigned seat) const -> internal::SeatTable*
    {
        const auto found = seats.find(seat);
        return found == seats.end() ? nullptr : found->second.get();
    }

    mutable Mutex mutex;
    std::map<unsigned, std::unique_ptr<internal::SeatTable>> seats GUARDED_BY(mutex);
};

IdempotencyTable::IdempotencyTable(Options options)
    : m_options(options)
{
    for (auto& shard : m_shards)
        shard = std::make_unique<Shard>();
}

IdempotencyTable::~IdempotencyTable() = default;

auto IdempotencyTable::openSeat(const SeatLease& lease, std::vector<SeatRebuild::Member> members,
    std::vector<LostDaemon> lost, MonotonicTime now) -> void
{
    auto& shard = shardOf(lease.seat);
    const MutexLock lock(shard.mutex);
    auto& seat = shard.seats[lease.seat];
    if (!seat)
        seat = std::make_unique<internal::SeatTable>(m_options, m_keyCount, m_responseBytes);
    seat->open(lease, std::move(members), std::move(lost), now);
}

auto IdempotencyTable::renewLease(const SeatLease& lease) -> void
{
    auto& shard = shardOf(lease.seat);
    const MutexLock lock(shard.mutex);
    if (auto* table = shard.findLocked(lease.seat))
        table->renewLease(lease);
}

auto IdempotencyTable::addReport(unsigned seat, std::uint64_t epoch, const RebuildReport& report, MonotonicTime now)
    -> void
{
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    if (auto* table = shard.findLocked(seat))
        table->addReport(epoch, report, now);
}

auto IdempotencyTable::missingReports(unsigned seat) const -> std::vector<DaemonIdentity>
{
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    const auto* table = shard.findLocked(seat);
    return table ? table->missingReports() : std::vector<DaemonIdentity> {};
}

auto IdempotencyTable::requestPermit(
    const PermitRequest& request, const std::optional<SeatLease>& lease, MonotonicTime now) -> PermitResponse
{
    const auto seat = seatOf(request.key, m_options.seatCount);
    if (!lease || lease->seat != seat || now >= lease->validUntil)
        return PermitRefused { PermitRefused::Reason::NotHolder, {} };
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    auto* table = shard.findLocked(seat);
    if (!table)
        return PermitRefused { PermitRefused::Reason::NotHolder, {} };
    return table->requestPermit(request, *lease, now);
}

auto IdempotencyTable::recordOutcome(
    const IdempotencyKey& key, const AttemptId& attempt, const AttemptOutcome& outcome, MonotonicTime now) -> void
{
    const auto seat = seatOf(key, m_options.seatCount);
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    if (auto* table = shard.findLocked(seat))
        table->recordOutcome(key, attempt, outcome, now);
}

auto IdempotencyTable::markDaemonLost(const LostDaemon& lost) -> void
{
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard->mutex);
        for (const auto& [seat, table] : shard->seats)
            table->markDaemonLost(lost);
    }
}

auto IdempotencyTable::recordsOf(unsigned seat, MonotonicTime now) const -> std::vector<AttemptRecord>
{
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    const auto* table = shard.findLocked(seat);
    return table ? table->records(now) : std::vector<AttemptRecord> {};
}

auto IdempotencyTable::shardOf(unsigned seat) const -> Shard& { return *m_shards[seat % s_shardCount]; }

} // namespace coriandergate::once
