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

auto IdempotencyTable::openSeat(const SeatLease& tenure, std::vector<SeatRebuild::Member> members,
    std::vector<LostDaemon> lost, MonotonicTime now) -> void
{
    auto& shard = shardOf(tenure.seat);
    const MutexLock lock(shard.mutex);
    auto& seat = shard.seats[tenure.seat];
    if (!seat)
        seat = std::make_unique<internal::SeatTable>(m_options, m_keys, m_answerBytes);
    seat->open(tenure, std::move(members), std::move(lost), now);
}

auto IdempotencyTable::renewLease(const SeatLease& tenure) -> void
{
    auto& shard = shardOf(tenure.seat);
    const MutexLock lock(shard.mutex);
    if (auto* ledger = shard.findLocked(tenure.seat))
        ledger->renewLease(tenure);
}

auto IdempotencyTable::addReport(unsigned seat, std::uint64_t epoch, const RebuildReport& report, MonotonicTime now)
    -> void
{
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    if (auto* ledger = shard.findLocked(seat))
        ledger->addReport(epoch, report, now);
}

auto IdempotencyTable::missingReports(unsigned seat) const -> std::vector<DaemonIdentity>
{
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    const auto* ledger = shard.findLocked(seat);
    return ledger ? ledger->missingReports() : std::vector<DaemonIdentity> {};
}

auto IdempotencyTable::requestPermit(
    const PermitRequest& request, const std::optional<SeatLease>& tenure, MonotonicTime now) -> PermitResponse
{
    const auto seat = seatOf(request.key, m_options.seatCount);
    if (!tenure || tenure->seat != seat || now >= tenure->validUntil)
        return PermitRefused { PermitRefused::Reason::NotHolder, {} };
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    auto* ledger = shard.findLocked(seat);
    if (!ledger)
        return PermitRefused { PermitRefused::Reason::NotHolder, {} };
    return ledger->requestPermit(request, *tenure, now);
}

auto IdempotencyTable::recordOutcome(
    const IdempotencyKey& key, const AttemptId& attempt, const AttemptOutcome& outcome, MonotonicTime now) -> void
{
    const auto seat = seatOf(key, m_options.seatCount);
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    if (auto* ledger = shard.findLocked(seat))
        ledger->recordOutcome(key, attempt, outcome, now);
}

auto IdempotencyTable::markDaemonLost(const LostDaemon& lost) -> void
{
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard->mutex);
        for (const auto& [seat, ledger] : shard->seats)
            ledger->markDaemonLost(lost);
    }
}

auto IdempotencyTable::recordsOf(unsigned seat, MonotonicTime now) const -> std::vector<AttemptRecord>
{
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    const auto* ledger = shard.findLocked(seat);
    return ledger ? ledger->records(now) : std::vector<AttemptRecord> {};
}

auto IdempotencyTable::shardOf(unsigned seat) const -> Shard& { return *m_shards[seat % s_shardCount]; }

} // namespace coriandergate::once
