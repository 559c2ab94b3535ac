// One seat's part of an IdempotencyTable.
#pragma once

#include "once/IdempotencyTable.h"

#include <atomic>
#include <map>
#include <unordered_map>

namespace coriandergate::once::internal {

// SeatTable is guarded by the lock of its shard; the two counters are the whole ledger's.
class SeatTable {
public:
    SeatTable(
        const IdempotencyTable::Options& options, std::atomic<std::size_t>& keys, std::atomic<std::size_t>& answerBytes)
        : m_options(options)
        , m_allKeys(keys)
        , m_allAnswerBytes(answerBytes)
    {
    }
    ~SeatTable();
    SeatTable(const SeatTable&) = delete;
    auto operator=(const SeatTable&) -> SeatTable& = delete;

    auto open(const SeatLease& tenure, std::vector<SeatRebuild::Member> members, std::vector<LostDaemon> lost,
        MonotonicTime now) -> void;
    auto renewLease(const SeatLease& tenure) -> void;
    auto addReport(std::uint64_t epoch, const RebuildReport& report, MonotonicTime now) -> void;
    [[nodiscard]] auto missingReports() const -> std::vector<DaemonIdentity>;
    auto requestPermit(const PermitRequest& request, const SeatLease& tenure, MonotonicTime now) -> PermitResponse;
    auto recordOutcome(
        const IdempotencyKey& key, const AttemptId& attempt, const AttemptOutcome& outcome, MonotonicTime now) -> void;
    auto markDaemonLost(const LostDaemon& lost) -> void;
    [[nodiscard]] auto records(MonotonicTime now) const -> std::vector<AttemptRecord>;

private:
    // A rebuild may bring up more than one attempt at a key: all but one of them were not run, but which one is known
    // only when their owners tell. The key is free again when no attempt is left.
    struct Entry {
        AttemptRecord record;
        std::vector<AttemptRecord> others;
        MonotonicTime agedAt; // its key in m_byAge
    };
    using Entries = std::unordered_map<IdempotencyKey, Entry, IdempotencyKeyHash>;

    auto ownerLost(const DaemonIdentity& owner) -> void;
    auto learn(AttemptRecord record, MonotonicTime now) -> void;
    auto grant(const PermitRequest& request, const SeatLease& tenure, MonotonicTime now) -> PermitResponse;
    [[nodiscard]] auto permitUnder(const SeatLease& tenure, MonotonicTime now) const -> PermitResponse;
    [[nodiscard]] auto answerFor(const AttemptRecord& record, const PermitRequest& request, const SeatLease& tenure,
        MonotonicTime now) const -> PermitResponse;
    auto add(const AttemptRecord& record) -> void;
    auto addOther(Entry& entry, const AttemptRecord& record) -> void;
    auto unlist(const IdempotencyKey& key, MonotonicTime agedAt) -> void;
    auto setOutcome(AttemptRecord& record, const AttemptOutcome& outcome) -> void;
    auto dropAttempt(Entries::iterator position, const AttemptId& attempt) -> void;
    auto forget(Entries::iterator position) -> void;
    auto forgetOld(MonotonicTime now) -> void;

    const IdempotencyTable::Options& m_options;
    std::atomic<std::size_t>& m_allKeys;
    std::atomic<std::size_t>& m_allAnswerBytes;
    std::uint64_t m_epoch = 0;
    MonotonicTime m_validUntil = MonotonicTime::min(); // of the tenure in m_epoch, as last seen
    std::optional<SeatRebuild> m_rebuild;
    Entries m_entries;
    std::multimap<MonotonicTime, IdempotencyKey> m_byAge;
};

} // namespace coriandergate::once::internal
