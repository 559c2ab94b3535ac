#include "once/AttemptTable.h"

#include <deque>
#include <set>
#include <unordered_map>

namespace coriandergate::once {

namespace {

    struct Attempt {
        AttemptRecord record;
        MonotonicTime permittedUntil = MonotonicTime::min();
        bool isStarted = false;
    };

    auto isOpen(const Attempt& attempt) -> bool { return std::holds_alternative<Running>(attempt.record.outcome); }

} // namespace

struct AttemptTable::Shard {
    REQUIRES(mutex) auto findLocked(const AttemptId& attempt) -> Attempt*
    {
        const auto found = attempts.find(attempt);
        return found == attempts.end() ? nullptr : &found->second;
    }

    REQUIRES(mutex) auto forgetOldLocked(MonotonicTime limit) -> void
    {
        while (!byAge.empty() && byAge.front().first <= limit) {
            attempts.erase(byAge.front().second);
            unreported.erase(byAge.front().second);
            byAge.pop_front();
        }
    }

    REQUIRES(mutex) auto closeLocked(Attempt& attempt, const AttemptOutcome& outcome, std::size_t answerLimit) -> void
    {
        attempt.record.outcome = outcome;
        if (auto* ran = std::get_if<Ran>(&attempt.record.outcome)) {
            if (ran->response && ran->response->body.size() + ran->response->contentType.size() > answerLimit)
                ran->response.reset();
        }
        unreported.insert(attempt.record.attempt);
    }

    mutable Mutex mutex;
    std::unordered_map<AttemptId, Attempt, AttemptIdHash> attempts GUARDED_BY(mutex);
    std::deque<std::pair<MonotonicTime, AttemptId>> byAge GUARDED_BY(mutex);
    std::set<AttemptId> unreported GUARDED_BY(mutex);
    bool isStopped GUARDED_BY(mutex) = false;
};

AttemptTable::AttemptTable(Options options, DaemonIdentity self)
    : m_options(options)
    , m_self(std::move(self))
{
    for (auto& shard : m_shards)
        shard = std::make_unique<Shard>();
}

AttemptTable::~AttemptTable() = default;

auto AttemptTable::open(
    const AttemptId& attempt, const IdempotencyKey& key, std::uint64_t fingerprint, MonotonicTime now) -> bool
{
    auto& shard = shardOf(attempt);
    const MutexLock lock(shard.mutex);
    shard.forgetOldLocked(now - m_options.retention);
    if (shard.attempts.size() >= m_options.maximumAttempts / s_shardCount || shard.attempts.contains(attempt))
        return false;
    shard.attempts.emplace(attempt, Attempt { { key, attempt, m_self, fingerprint, 0, Running {}, now } });
    shard.byAge.emplace_back(now, attempt);
    return true;
}

auto AttemptTable::applyPermit(const AttemptId& attempt, const Permit& permit, MonotonicTime askedAt) -> void
{
    auto& shard = shardOf(attempt);
    const MutexLock lock(shard.mutex);
    auto* known = shard.findLocked(attempt);
    if (!known || known->isStarted || !isOpen(*known) || isFenced(known->record.key, permit.epoch))
        return;
    known->permittedUntil = std::max(known->permittedUntil, askedAt + permit.lifetime);
    known->record.epoch = permit.epoch;
}

auto AttemptTable::tryStart(const AttemptId& attempt, MonotonicTime now) -> bool
{
    auto& shard = shardOf(attempt);
    const MutexLock lock(shard.mutex);
    auto* known = shard.findLocked(attempt);
    if (!known || known->isStarted || !isOpen(*known))
        return false;
    const auto limit = std::min(known->permittedUntil, known->record.openedAt + m_options.startTimeout);
    if (shard.isStopped || now >= limit || isFenced(known->record.key, known->record.epoch)) {
        shard.closeLocked(*known, NotRun {}, m_options.maximumResponseBytes);
        return false;
    }
    known->isStarted = true;
    return true;
}

auto AttemptTable::close(const AttemptId& attempt, const AttemptOutcome& outcome) -> void
{
    auto& shard = shardOf(attempt);
    const MutexLock lock(shard.mutex);
    auto* known = shard.findLocked(attempt);
    if (!known)
        return;
    const auto wasUnknown = std::holds_alternative<Unknown>(known->record.outcome);
    if (isOpen(*known) || (wasUnknown && std::holds_alternative<Ran>(outcome)))
        shard.closeLocked(*known, outcome, m_options.maximumResponseBytes);
}

auto AttemptTable::outcome(const AttemptId& attempt) const -> AttemptOutcome
{
    auto& shard = shardOf(attempt);
    const MutexLock lock(shard.mutex);
    const auto* known = shard.findLocked(attempt);
    return known ? known->record.outcome : AttemptOutcome { NotRun {} };
}

auto AttemptTable::unreported() const -> std::vector<AttemptRecord>
{
    std::vector<AttemptRecord> records;
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard->mutex);
        for (const auto& attempt : shard->unreported)
            records.push_back(shard->attempts.at(attempt).record);
    }
    return records;
}

auto AttemptTable::acknowledge(const AttemptId& attempt) -> void
{
    auto& shard = shardOf(attempt);
    const MutexLock lock(shard.mutex);
    shard.unreported.erase(attempt);
}

// The fence goes up before the records are read: an attempt has either started by then, or never will under the old
// epoch.
auto AttemptTable::fenceAndCollect(unsigned seat, std::uint64_t epoch, MonotonicTime now) -> std::vector<AttemptRecord>
{
    {
        const MutexLock lock(m_fenceMutex);
        auto& fence = m_fences[seat];
        fence = std::max(fence, epoch);
    }
    std::vector<AttemptRecord> records;
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard->mutex);
        for (const auto& [id, attempt] : shard->attempts) {
            const auto isOld = attempt.record.openedAt <= now - m_options.retention;
            const auto isNotRun = std::holds_alternative<NotRun>(attempt.record.outcome);
            if (!isOld && !isNotRun && attempt.isStarted && seatOf(attempt.record.key, m_options.seatCount) == seat)
                records.push_back(attempt.record);
        }
    }
    return records;
}

auto AttemptTable::handOver(MonotonicTime now) -> std::vector<AttemptRecord>
{
    std::vector<AttemptRecord> records;
    for (const auto& shard : m_shards) {
        const MutexLock lock(shard->mutex);
        shard->isStopped = true;
        for (const auto& [id, attempt] : shard->attempts) {
            const auto isOld = attempt.record.openedAt <= now - m_options.retention;
            if (!isOld && attempt.isStarted && !std::holds_alternative<NotRun>(attempt.record.outcome))
                records.push_back(attempt.record);
        }
    }
    return records;
}

auto AttemptTable::isFenced(const IdempotencyKey& key, std::uint64_t epoch) -> bool
{
    const MutexLock lock(m_fenceMutex);
    const auto fence = m_fences.find(seatOf(key, m_options.seatCount));
    return fence != m_fences.end() && epoch < fence->second;
}

auto AttemptTable::shardOf(const AttemptId& attempt) const -> Shard&
{
    return *m_shards[AttemptIdHash {}(attempt) / 64 % s_shardCount];
}

} // namespace coriandergate::once
