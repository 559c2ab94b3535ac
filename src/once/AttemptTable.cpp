#include "once/AttemptTable.h"

#include <deque>
#include <set>
#include <unordered_map>

namespace coriandergate::once {

namespace {

    struct Attempt {
        AttemptRecord record;
        MonotonicTime permitExpiresAt = MonotonicTime::min();
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

    REQUIRES(mutex) auto removeExpiredLocked(MonotonicTime limit) -> void
    {
        while (!attemptsByOpenTime.empty() && attemptsByOpenTime.front().first <= limit) {
            attempts.erase(attemptsByOpenTime.front().second);
            unreported.erase(attemptsByOpenTime.front().second);
            attemptsByOpenTime.pop_front();
        }
    }

    REQUIRES(mutex)
    auto closeLocked(Attempt& attempt, const AttemptOutcome& outcome, std::size_t maximumResponseBytes) -> void
    {
        attempt.record.outcome = outcome;
        if (auto* ran = std::get_if<Ran>(&attempt.record.outcome)) {
            if (ran->response && ran->response->body.size() + ran->response->contentType.size() > maximumResponseBytes)
                ran->response.reset();
        }
        unreported.insert(attempt.record.attempt);
    }

    mutable Mutex mutex;
    std::unordered_map<AttemptId, Attempt, AttemptIdHash> attempts GUARDED_BY(mutex);
    std::deque<std::pair<MonotonicTime, AttemptId>> attemptsByOpenTime GUARDED_BY(mutex);
    std::set<AttemptId> unreported GUARDED_BY(mutex);
    bool isHandedOver GUARDED_BY(mutex) = false;
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
    shard.removeExpiredLocked(now - m_options.retention);
    if (shard.attempts.size() >= m_options.maximumAttempts / s_shardCount || shard.attempts.contains(attempt))
        return false;
    shard.attempts.emplace(attempt, Attempt { { key, attempt, m_self, fingerprint, 0, Running {}, now } });
    shard.attemptsByOpenTime.emplace_back(now, attempt);
    return true;
}

auto AttemptTable::applyPermit(const AttemptId& attempt, const Permit& permit, MonotonicTime requestedAt) -> void
{
    auto& shard = shardOf(attempt);
    const MutexLock lock(shard.mutex);
    auto* found = shard.findLocked(attempt);
    if (!found || found->isStarted || !isOpen(*found) || isFenced(found->record.key, permit.epoch))
        return;
    found->permitExpiresAt = std::max(found->permitExpiresAt, requestedAt + permit.lifetime);
    found->record.epoch = permit.epoch;
}

auto AttemptTable::tryStart(const AttemptId& attempt, MonotonicTime now) -> bool
{
    auto& shard = shardOf(attempt);
    const MutexLock lock(shard.mutex);
    auto* found = shard.findLocked(attempt);
    if (!found || found->isStarted || !isOpen(*found))
        return false;
    const auto startDeadline = std::min(found->permitExpiresAt, found->record.openedAt + m_options.startTimeout);
    if (shard.isHandedOver || now >= startDeadline || isFenced(found->record.key, found->record.epoch)) {
        shard.closeLocked(*found, NotRun {}, m_options.maximumResponseBytes);
        return false;
    }
    found->isStarted = true;
    return true;
}

auto AttemptTable::close(const AttemptId& attempt, const AttemptOutcome& outcome) -> void
{
    auto& shard = shardOf(attempt);
    const MutexLock lock(shard.mutex);
    auto* found = shard.findLocked(attempt);
    if (!found)
        return;
    const auto wasUnknown = std::holds_alternative<Unknown>(found->record.outcome);
    if (isOpen(*found) || (wasUnknown && std::holds_alternative<Ran>(outcome)))
        shard.closeLocked(*found, outcome, m_options.maximumResponseBytes);
}

auto AttemptTable::outcome(const AttemptId& attempt) const -> AttemptOutcome
{
    auto& shard = shardOf(attempt);
    const MutexLock lock(shard.mutex);
    const auto* found = shard.findLocked(attempt);
    return found ? found->record.outcome : AttemptOutcome { NotRun {} };
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

// Sets the fence before it reads the records: an attempt has either started by then, or never starts under an earlier
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
            const auto isExpired = attempt.record.openedAt <= now - m_options.retention;
            const auto isNotRun = std::holds_alternative<NotRun>(attempt.record.outcome);
            if (!isExpired && !isNotRun && attempt.isStarted && seatOf(attempt.record.key, m_options.seatCount) == seat)
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
        shard->isHandedOver = true;
        for (const auto& [id, attempt] : shard->attempts) {
            const auto isExpired = attempt.record.openedAt <= now - m_options.retention;
            if (!isExpired && attempt.isStarted && !std::holds_alternative<NotRun>(attempt.record.outcome))
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
    return *m_shards[AttemptIdHash {}(attempt) / 64 % s_shardCount]; // the low bits of the hash are the least mixed
}

} // namespace coriandergate::once
