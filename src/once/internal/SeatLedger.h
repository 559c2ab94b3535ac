// One seat's part of an OnceLedger.
#pragma once

#include "once/OnceLedger.h"

#include <atomic>
#include <map>
#include <unordered_map>

namespace coriandergate::once::internal {

// SeatLedger is guarded by the lock of its shard; the two counters are the whole ledger's.
class SeatLedger {
public:
    SeatLedger(
        const OnceLedger::Options& options, std::atomic<std::size_t>& keys, std::atomic<std::size_t>& answerBytes)
        : m_options(options)
        , m_allKeys(keys)
        , m_allAnswerBytes(answerBytes)
    {
    }
    ~SeatLedger();
    SeatLedger(const SeatLedger&) = delete;
    auto operator=(const SeatLedger&) -> SeatLedger& = delete;

    auto open(const SeatTenure& tenure, std::vector<SeatRebuild::Member> members, std::vector<LostDaemon> lost,
        MonotonicTime now) -> void;
    auto follow(const SeatTenure& tenure) -> void;
    auto addReport(std::uint64_t epoch, const WitnessReport& report, MonotonicTime now) -> void;
    [[nodiscard]] auto missingReports() const -> std::vector<DaemonIdentity>;
    auto begin(const PermitRequest& request, const SeatTenure& tenure, MonotonicTime now) -> PermitAnswer;
    auto finish(const OnceKey& key, const AttemptId& attempt, const AttemptOutcome& outcome, MonotonicTime now) -> void;
    auto daemonLost(const LostDaemon& lost) -> void;
    [[nodiscard]] auto records(MonotonicTime now) const -> std::vector<OnceRecord>;

private:
    // A rebuild may bring up more than one attempt at a key: all but one of them were not run, but which one is known
    // only when their owners tell. The key is free again when no attempt is left.
    struct Entry {
        OnceRecord record;
        std::vector<OnceRecord> others;
        MonotonicTime agedAt; // its key in m_byAge
    };
    using Entries = std::unordered_map<OnceKey, Entry, OnceKeyHash>;

    auto ownerLost(const DaemonIdentity& owner) -> void;
    auto learn(OnceRecord record, MonotonicTime now) -> void;
    auto grant(const PermitRequest& request, const SeatTenure& tenure, MonotonicTime now) -> PermitAnswer;
    [[nodiscard]] auto permitUnder(const SeatTenure& tenure, MonotonicTime now) const -> PermitAnswer;
    [[nodiscard]] auto answerFor(const OnceRecord& record, const PermitRequest& request, const SeatTenure& tenure,
        MonotonicTime now) const -> PermitAnswer;
    auto add(const OnceRecord& record) -> void;
    auto addOther(Entry& entry, const OnceRecord& record) -> void;
    auto unlist(const OnceKey& key, MonotonicTime agedAt) -> void;
    auto setOutcome(OnceRecord& record, const AttemptOutcome& outcome) -> void;
    auto dropAttempt(Entries::iterator position, const AttemptId& attempt) -> void;
    auto forget(Entries::iterator position) -> void;
    auto forgetOld(MonotonicTime now) -> void;

    const OnceLedger::Options& m_options;
    std::atomic<std::size_t>& m_allKeys;
    std::atomic<std::size_t>& m_allAnswerBytes;
    std::uint64_t m_epoch = 0;
    MonotonicTime m_validUntil = MonotonicTime::min(); // of the tenure in m_epoch, as last seen
    std::optional<SeatRebuild> m_rebuild;
    Entries m_entries;
    std::multimap<MonotonicTime, OnceKey> m_byAge;
};

} // namespace coriandergate::once::internal
