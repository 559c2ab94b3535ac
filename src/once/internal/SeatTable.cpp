#include "once/internal/SeatTable.h"

#include <algorithm>
#include <utility>

namespace coriandergate::once::internal {

namespace {

    // A permit must expire by the owner's clock before the lease expires by the holder's. 1/512 of the lifetime (0.2%)
    // exceeds the drift between two clocks; the margin covers the rounding to milliseconds on the wire.
    constexpr int clockDriftDivisor = 512;
    constexpr MonotonicDuration roundingMargin = std::chrono::milliseconds(2);

    auto responseBytes(const AttemptOutcome& outcome) -> std::size_t
    {
        const auto* ran = std::get_if<Ran>(&outcome);
        return ran && ran->response ? ran->response->body.size() + ran->response->contentType.size() : 0;
    }

    // Ran is more certain than Unknown, and Unknown more than an attempt that is believed to be running.
    auto certaintyOf(const AttemptOutcome& outcome) -> int
    {
        if (std::holds_alternative<Ran>(outcome))
            return 2;
        return std::holds_alternative<Unknown>(outcome) ? 1 : 0;
    }

} // namespace

SeatTable::~SeatTable()
{
    while (!m_entries.empty())
        removeEntry(m_entries.begin());
}

auto SeatTable::open(const SeatLease& lease, std::vector<SeatRebuild::Member> members, std::vector<LostDaemon> lost,
    MonotonicTime now) -> void
{
    renewLease(lease);
    if (lease.epoch <= m_epoch)
        return;
    m_epoch = lease.epoch;
    m_validUntil = lease.validUntil;
    m_rebuild.emplace(m_options.rebuild, lease, std::move(members), std::move(lost), now);
}

// Continues into a later epoch of the same holder if the lease of the previous epoch was valid until the new one began.
auto SeatTable::renewLease(const SeatLease& lease) -> void
{
    if (m_rebuild && lease.epoch > m_epoch && lease.heldSince <= m_validUntil)
        m_epoch = lease.epoch;
    if (lease.epoch == m_epoch)
        m_validUntil = std::max(m_validUntil, lease.validUntil);
}

auto SeatTable::addReport(std::uint64_t epoch, const RebuildReport& report, MonotonicTime now) -> void
{
    if (!m_rebuild || epoch != m_epoch)
        return;
    m_rebuild->addReport(report);
    for (const auto& record : report.records)
        merge(record, now);
    for (const auto& lost : report.lost) {
        if (m_rebuild->isLost(lost.identity))
            markOwnerLost(lost.identity);
    }
}

auto SeatTable::missingReports() const -> std::vector<DaemonIdentity>
{
    return m_rebuild ? m_rebuild->missingReports() : std::vector<DaemonIdentity> {};
}

auto SeatTable::requestPermit(const PermitRequest& request, const SeatLease& lease, MonotonicTime now) -> PermitResponse
{
    removeExpired(now);
    renewLease(lease);
    if (!m_rebuild || lease.epoch != m_epoch)
        return PermitRefused { PermitRefused::Reason::NotHolder, {} };
    if (!m_rebuild->isReady(now))
        return PermitRefused { PermitRefused::Reason::Rebuilding, m_options.rebuild.reportTimeout };
    const auto found = m_entries.find(request.key);
    if (found != m_entries.end())
        return responseFor(found->second.record, request, lease, now);
    if (now < m_rebuild->uncertainUntil(now))
        return OutcomeUnknown {};
    return grant(request, lease, now);
}

auto SeatTable::responseFor(const AttemptRecord& record, const PermitRequest& request, const SeatLease& lease,
    MonotonicTime now) const -> PermitResponse
{
    if (record.fingerprint != request.fingerprint)
        return FingerprintMismatch {};
    if (const auto* ran = std::get_if<Ran>(&record.outcome))
        return AlreadyRan { *ran };
    if (std::holds_alternative<Unknown>(record.outcome))
        return OutcomeUnknown {};
    if (record.attempt == request.attempt && record.owner == request.owner)
        return permitUnder(lease, now);
    return InProgress { record.attempt, record.owner };
}

auto SeatTable::grant(const PermitRequest& request, const SeatLease& lease, MonotonicTime now) -> PermitResponse
{
    if (m_totalKeyCount.load(std::memory_order_relaxed) >= m_options.maximumKeys) {
        const auto oldestOpenedAt = m_keysByOpenTime.empty() ? now : m_keysByOpenTime.begin()->first;
        return PermitRefused { PermitRefused::Reason::TableFull, oldestOpenedAt + m_options.rebuild.retention - now };
    }
    auto response = permitUnder(lease, now);
    if (std::holds_alternative<Permit>(response))
        addEntry({ request.key, request.attempt, request.owner, request.fingerprint, lease.epoch, Running {}, now });
    return response;
}

auto SeatTable::permitUnder(const SeatLease& lease, MonotonicTime now) const -> PermitResponse
{
    auto lifetime = std::min<MonotonicDuration>(m_options.permitLifetime, lease.validUntil - now);
    lifetime -= lifetime / clockDriftDivisor + roundingMargin;
    if (lifetime <= MonotonicDuration::zero())
        return PermitRefused { PermitRefused::Reason::NotHolder, {} };
    return Permit { lease.epoch, lifetime };
}

auto SeatTable::recordOutcome(
    const IdempotencyKey& key, const AttemptId& attempt, const AttemptOutcome& outcome, MonotonicTime now) -> void
{
    removeExpired(now);
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    if (std::holds_alternative<NotRun>(outcome)) {
        removeAttempt(found, attempt);
        return;
    }
    auto& entry = found->second;
    const auto other = std::find_if(entry.otherAttempts.begin(), entry.otherAttempts.end(),
        [&](const AttemptRecord& record) { return record.attempt == attempt; });
    if (other != entry.otherAttempts.end()) {
        updateOutcome(*other, outcome);
        if (certaintyOf(other->outcome) > certaintyOf(entry.record.outcome))
            std::swap(*other, entry.record);
    } else if (entry.record.attempt == attempt) {
        updateOutcome(entry.record, outcome);
    }
}

auto SeatTable::markDaemonLost(const LostDaemon& lost) -> void
{
    if (m_rebuild)
        m_rebuild->markLost(lost);
    markOwnerLost(lost.identity);
}

auto SeatTable::markOwnerLost(const DaemonIdentity& owner) -> void
{
    const auto markUnknown = [&](AttemptRecord& record) {
        if (record.owner == owner && std::holds_alternative<Running>(record.outcome))
            record.outcome = Unknown {};
    };
    for (auto& [key, entry] : m_entries) {
        markUnknown(entry.record);
        std::for_each(entry.otherAttempts.begin(), entry.otherAttempts.end(), markUnknown);
    }
}

auto SeatTable::records(MonotonicTime now) const -> std::vector<AttemptRecord>
{
    std::vector<AttemptRecord> records;
    for (const auto& [key, entry] : m_entries) {
        if (entry.record.openedAt <= now - m_options.rebuild.retention)
            continue;
        records.push_back(entry.record);
        records.insert(records.end(), entry.otherAttempts.begin(), entry.otherAttempts.end());
    }
    return records;
}

auto SeatTable::merge(AttemptRecord record, MonotonicTime now) -> void
{
    if (record.openedAt <= now - m_options.rebuild.retention)
        return;
    if (std::holds_alternative<Running>(record.outcome) && m_rebuild->isLost(record.owner))
        record.outcome = Unknown {};
    const auto found = m_entries.find(record.key);
    if (found == m_entries.end()) {
        addEntry(record);
        return;
    }
    auto& entry = found->second;
    const auto isSame = [&](const AttemptRecord& known) { return known.attempt == record.attempt; };
    const auto isKnown
        = isSame(entry.record) || std::any_of(entry.otherAttempts.begin(), entry.otherAttempts.end(), isSame);
    if (!isKnown)
        addOtherAttempt(entry, record);
    if (!std::holds_alternative<Running>(record.outcome))
        recordOutcome(record.key, record.attempt, record.outcome, now);
}

auto SeatTable::addEntry(const AttemptRecord& record) -> void
{
    auto& entry = m_entries.emplace(record.key, Entry { record, {}, record.openedAt }).first->second;
    entry.record.outcome = Running {};
    m_keysByOpenTime.emplace(record.openedAt, record.key);
    m_totalKeyCount.fetch_add(1, std::memory_order_relaxed);
    updateOutcome(entry.record, record.outcome);
}

// A key is kept for the retention of its latest attempt.
auto SeatTable::addOtherAttempt(Entry& entry, const AttemptRecord& record) -> void
{
    entry.otherAttempts.push_back(record);
    entry.otherAttempts.back().outcome = Running {};
    if (record.openedAt <= entry.latestOpenedAt)
        return;
    removeFromOpenTimeIndex(record.key, entry.latestOpenedAt);
    entry.latestOpenedAt = record.openedAt;
    m_keysByOpenTime.emplace(entry.latestOpenedAt, record.key);
}

// An outcome is never replaced by a less certain one. A response for which there is no room isn't stored, but its
// status is.
auto SeatTable::updateOutcome(AttemptRecord& record, const AttemptOutcome& outcome) -> void
{
    if (certaintyOf(outcome) < certaintyOf(record.outcome))
        return;
    const auto previousBytes = responseBytes(record.outcome);
    const auto bytes = responseBytes(outcome);
    if (previousBytes > 0 && bytes == 0)
        return;
    record.outcome = outcome;
    m_totalResponseBytes.fetch_sub(previousBytes, std::memory_order_relaxed);
    const auto totalBytes = m_totalResponseBytes.load(std::memory_order_relaxed);
    if (bytes == 0)
        return;
    if (bytes > m_options.maximumResponseBytes || totalBytes + bytes > m_options.maximumTotalResponseBytes)
        std::get<Ran>(record.outcome).response.reset();
    else
        m_totalResponseBytes.fetch_add(bytes, std::memory_order_relaxed);
}

auto SeatTable::removeAttempt(Entries::iterator position, const AttemptId& attempt) -> void
{
    auto& entry = position->second;
    std::erase_if(entry.otherAttempts, [&](const AttemptRecord& record) { return record.attempt == attempt; });
    if (entry.record.attempt != attempt || std::holds_alternative<Ran>(entry.record.outcome))
        return;
    if (entry.otherAttempts.empty()) {
        removeEntry(position);
        return;
    }
    entry.record = std::move(entry.otherAttempts.back());
    entry.otherAttempts.pop_back();
}

auto SeatTable::removeEntry(Entries::iterator position) -> void
{
    const auto& record = position->second.record;
    m_totalResponseBytes.fetch_sub(responseBytes(record.outcome), std::memory_order_relaxed);
    for (const auto& other : position->second.otherAttempts)
        m_totalResponseBytes.fetch_sub(responseBytes(other.outcome), std::memory_order_relaxed);
    removeFromOpenTimeIndex(position->first, position->second.latestOpenedAt);
    m_entries.erase(position);
    m_totalKeyCount.fetch_sub(1, std::memory_order_relaxed);
}

auto SeatTable::removeFromOpenTimeIndex(const IdempotencyKey& key, MonotonicTime latestOpenedAt) -> void
{
    const auto [first, last] = m_keysByOpenTime.equal_range(latestOpenedAt);
    const auto indexed = std::find_if(first, last, [&](const auto& entry) { return entry.second == key; });
    if (indexed != last)
        m_keysByOpenTime.erase(indexed);
}

auto SeatTable::removeExpired(MonotonicTime now) -> void
{
    const auto limit = now - m_options.rebuild.retention;
    while (!m_keysByOpenTime.empty() && m_keysByOpenTime.begin()->first <= limit) {
        removeEntry(m_entries.find(m_keysByOpenTime.begin()->second));
    }
}

} // namespace coriandergate::once::internal
