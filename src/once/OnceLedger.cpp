#include "once/OnceLedger.h"

#include "once/internal/SeatLedger.h"

#include <map>
#include <utility>

namespace coriandergate::once {

struct OnceLedger::Shard {
    REQUIRES(mutex) auto findLocked(unsigned seat) const -> internal::SeatLedger*
    {
        const auto found = seats.find(seat);
        return found == seats.end() ? nullptr : found->second.get();
    }

    mutable Mutex mutex;
    std::map<unsigned, std::unique_ptr<internal::SeatLedger>> seats GUARDED_BY(mutex);
};

OnceLedger::OnceLedger(Options options)
    : m_options(options)
{
    for (auto& shard : m_shards)
        shard = std::make_unique<Shard>();
}

OnceLedger::~OnceLedger() = default;

auto OnceLedger::openSeat(const SeatTenure& tenure, std::vector<SeatRebuild::Member> members,
    std::vector<LostDaemon> lost, MonotonicTime now) -> void
{
    auto& shard = shardOf(tenure.seat);
    const MutexLock lock(shard.mutex);
    auto& seat = shard.seats[tenure.seat];
    if (!seat)
        seat = std::make_unique<internal::SeatLedger>(m_options, m_keys, m_answerBytes);
    seat->open(tenure, std::move(members), std::move(lost), now);
}

auto OnceLedger::renewSeat(const SeatTenure& tenure) -> void
{
    auto& shard = shardOf(tenure.seat);
    const MutexLock lock(shard.mutex);
    if (auto* ledger = shard.findLocked(tenure.seat))
        ledger->follow(tenure);
}

auto OnceLedger::addReport(unsigned seat, std::uint64_t epoch, const WitnessReport& report, MonotonicTime now) -> void
{
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    if (auto* ledger = shard.findLocked(seat))
        ledger->addReport(epoch, report, now);
}

auto OnceLedger::missingReports(unsigned seat) const -> std::vector<DaemonIdentity>
{
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    const auto* ledger = shard.findLocked(seat);
    return ledger ? ledger->missingReports() : std::vector<DaemonIdentity> {};
}

auto OnceLedger::begin(const PermitRequest& request, const std::optional<SeatTenure>& tenure, MonotonicTime now)
    -> PermitAnswer
{
    const auto seat = seatOf(request.key, m_options.seatCount);
    if (!tenure || tenure->seat != seat || now >= tenure->validUntil)
        return PermitRefused { PermitRefused::Reason::NotHolder, {} };
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    auto* ledger = shard.findLocked(seat);
    if (!ledger)
        return PermitRefused { PermitRefused::Reason::NotHolder, {} };
    return ledger->begin(request, *tenure, now);
}

auto OnceLedger::finish(const OnceKey& key, const AttemptId& attempt, const AttemptOutcome& outcome, MonotonicTime now)
    -> void
{
    const auto seat = seatOf(key, m_options.seatCount);
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    if (auto* ledger = shard.findLocked(seat))
        ledger->finish(key, attempt, outcome, now);
}

auto OnceLedger::daemonLost(const LostDaemon& lost) -> void
{
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard->mutex);
        for (const auto& [seat, ledger] : shard->seats)
            ledger->daemonLost(lost);
    }
}

auto OnceLedger::recordsOf(unsigned seat, MonotonicTime now) const -> std::vector<OnceRecord>
{
    auto& shard = shardOf(seat);
    const MutexLock lock(shard.mutex);
    const auto* ledger = shard.findLocked(seat);
    return ledger ? ledger->records(now) : std::vector<OnceRecord> {};
}

auto OnceLedger::shardOf(unsigned seat) const -> Shard& { return *m_shards[seat % s_shardCount]; }

} // namespace coriandergate::once
