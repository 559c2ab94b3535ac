// One seat's part of an IdempotencyTable.
#pragma once

#include "once/IdempotencyTable.h"

#include <atomic>
#include <map>
#include <unordered_map>

namespace coriandergate::once::internal {

// SeatTable is guarded by the lock of its shard. The two counters are shared by all seats of the IdempotencyTable.
class SeatTable {
public:
    SeatTable(const IdempotencyTable::Options& options, std::atomic<std::size_t>& keyCount,
        std::atomic<std::size_t>& responseBytes)
        : m_options(options)
        , m_totalKeyCount(keyCount)
        , m_totalResponseBytes(responseBytes)
    {
    }
    ~SeatTable();
    SeatTable(const SeatTable&) = delete;
    auto operator=(const SeatTable&) -> SeatTable& = delete;

    auto open(const SeatLease& lease, std::vector<SeatRebuild::Member> members, std::vector<LostDaemon> lost,
        MonotonicTime now) -> void;
    auto renewLease(const SeatLease& lease) -> void;
    auto addReport(std::uint64_t epoch, const RebuildReport& report, MonotonicTime now) -> void;
    [[nodiscard]] auto missingReports() const -> std::vector<DaemonIdentity>;
    auto requestPermit(const PermitRequest& request, const SeatLease& lease, MonotonicTime now) -> PermitResponse;
    auto recordOutcome(
        const IdempotencyKey& key, const AttemptId& attempt, const AttemptOutcome& outcome, MonotonicTime now) -> void;
    auto markDaemonLost(const LostDaemon& lost) -> void;
    [[nodiscard]] auto records(MonotonicTime now) const -> std::vector<AttemptRecord>;

private:
    // A rebuild may find several attempts at a key. At most one of them ran, but which one is known only when their
    // owners report it. The key's entry is removed when no attempt is left.
    struct Entry {
        AttemptRecord record; // decides the response to a permit request
        std::vector<AttemptRecord> otherAttempts;
        MonotonicTime latestOpenedAt; // of all attempts; the entry's key in m_keysByOpenTime
    };
    using Entries = std::unordered_map<IdempotencyKey, Entry, IdempotencyKeyHash>;

    auto markOwnerLost(const DaemonIdentity& owner) -> void;
    auto merge(AttemptRecord record, MonotonicTime now) -> void;
    auto grant(const PermitRequest& request, const SeatLease& lease, MonotonicTime now) -> PermitResponse;
    [[nodiscard]] auto permitUnder(const SeatLease& lease, MonotonicTime now) const -> PermitResponse;
    [[nodiscard]] auto responseFor(const AttemptRecord& record, const PermitRequest& request, const SeatLease& lease,
        MonotonicTime now) const -> PermitResponse;
    auto addEntry(const AttemptRecord& record) -> void;
    auto addOtherAttempt(Entry& entry, const AttemptRecord& record) -> void;
    auto removeFromOpenTimeIndex(const IdempotencyKey& key, MonotonicTime latestOpenedAt) -> void;
    auto updateOutcome(AttemptRecord& record, const AttemptOutcome& outcome) -> void;
    auto removeAttempt(Entries::iterator position, const AttemptId& attempt) -> void;
    auto removeEntry(Entries::iterator position) -> void;
    auto removeExpired(MonotonicTime now) -> void;

    const IdempotencyTable::Options& m_options;
    std::atomic<std::size_t>& m_totalKeyCount;
    std::atomic<std::size_t>& m_totalResponseBytes;
    std::uint64_t m_epoch = 0;
    MonotonicTime m_validUntil = MonotonicTime::min(); // of the lease in m_epoch, as last seen
    std::optional<SeatRebuild> m_rebuild;
    Entries m_entries;
    std::multimap<MonotonicTime, IdempotencyKey> m_keysByOpenTime;
};

} // namespace coriandergate::once::internal
