#include "once/internal/SeatTable.h"

#include <algorithm>
#include <utility>

namespace coriandergate::once::internal {

namespace {

    // A permit must have run out, on the owner's clock, before the tenure has on the holder's: 1/512 is more than two
    // clocks drift apart, and the rest covers the rounding to milliseconds on the wire.
    constexpr int driftPart = 512;
    constexpr MonotonicDuration roundingMargin = std::chrono::milliseconds(2);

    auto answerBytes(const AttemptOutcome& outcome) -> std::size_t
    {
        const auto* ran = std::get_if<Ran>(&outcome);
        return ran && ran->response ? ran->response->body.size() + ran->response->contentType.size() : 0;
    }

    // A definite outcome outranks an unknown one, and that one what is still thought to be running.
    auto rankOf(const AttemptOutcome& outcome) -> int
    {
        if (std::holds_alternative<Ran>(outcome))
            return 2;
        return std::holds_alternative<Unknown>(outcome) ? 1 : 0;
    }

} // namespace

SeatTable::~SeatTable()
{
    while (!m_entries.empty())
        forget(m_entries.begin());
}

auto SeatTable::open(const SeatLease& tenure, std::vector<SeatRebuild::Member> members, std::vector<LostDaemon> lost,
    MonotonicTime now) -> void
{
    renewLease(tenure);
    if (tenure.epoch <= m_epoch)
        return;
    m_epoch = tenure.epoch;
    m_validUntil = tenure.validUntil;
    m_rebuild.emplace(m_options.rebuild, tenure, std::move(members), std::move(lost), now);
}

// Goes on into a later epoch of the same holder, when the tenure in the one before was good until the new one began.
auto SeatTable::renewLease(const SeatLease& tenure) -> void
{
    if (m_rebuild && tenure.epoch > m_epoch && tenure.heldSince <= m_validUntil)
        m_epoch = tenure.epoch;
    if (tenure.epoch == m_epoch)
        m_validUntil = std::max(m_validUntil, tenure.validUntil);
}

auto SeatTable::addReport(std::uint64_t epoch, const RebuildReport& report, MonotonicTime now) -> void
{
    if (!m_rebuild || epoch != m_epoch)
        return;
    m_rebuild->addReport(report);
    for (const auto& record : report.records)
        learn(record, now);
    for (const auto& lost : report.lost) {
        if (m_rebuild->isLost(lost.identity))
            ownerLost(lost.identity);
    }
}

auto SeatTable::missingReports() const -> std::vector<DaemonIdentity>
{
    return m_rebuild ? m_rebuild->missingReports() : std::vector<DaemonIdentity> {};
}

auto SeatTable::requestPermit(const PermitRequest& request, const SeatLease& tenure, MonotonicTime now)
    -> PermitResponse
{
    forgetOld(now);
    renewLease(tenure);
    if (!m_rebuild || tenure.epoch != m_epoch)
        return PermitRefused { PermitRefused::Reason::NotHolder, {} };
    if (!m_rebuild->isReady(now))
        return PermitRefused { PermitRefused::Reason::Rebuilding, m_options.rebuild.reportTimeout };
    const auto found = m_entries.find(request.key);
    if (found != m_entries.end())
        return answerFor(found->second.record, request, tenure, now);
    if (now < m_rebuild->uncertainUntil(now))
        return OutcomeUnknown {};
    return grant(request, tenure, now);
}

auto SeatTable::answerFor(const AttemptRecord& record, const PermitRequest& request, const SeatLease& tenure,
    MonotonicTime now) const -> PermitResponse
{
    if (record.fingerprint != request.fingerprint)
        return FingerprintMismatch {};
    if (const auto* ran = std::get_if<Ran>(&record.outcome))
        return AlreadyRan { *ran };
    if (std::holds_alternative<Unknown>(record.outcome))
        return OutcomeUnknown {};
    if (record.attempt == request.attempt && record.owner == request.owner)
        return permitUnder(tenure, now);
    return InProgress { record.attempt, record.owner };
}

auto SeatTable::grant(const PermitRequest& request, const SeatLease& tenure, MonotonicTime now) -> PermitResponse
{
    if (m_allKeys.load(std::memory_order_relaxed) >= m_options.maximumKeys) {
        const auto oldest = m_byAge.empty() ? now : m_byAge.begin()->first;
        return PermitRefused { PermitRefused::Reason::TableFull, oldest + m_options.rebuild.retention - now };
    }
    auto answer = permitUnder(tenure, now);
    if (std::holds_alternative<Permit>(answer))
        add({ request.key, request.attempt, request.owner, request.fingerprint, tenure.epoch, Running {}, now });
    return answer;
}

auto SeatTable::permitUnder(const SeatLease& tenure, MonotonicTime now) const -> PermitResponse
{
    auto lifetime = std::min<MonotonicDuration>(m_options.permitLifetime, tenure.validUntil - now);
    lifetime -= lifetime / driftPart + roundingMargin;
    if (lifetime <= MonotonicDuration::zero())
        return PermitRefused { PermitRefused::Reason::NotHolder, {} };
    return Permit { tenure.epoch, lifetime };
}

auto SeatTable::recordOutcome(
    const IdempotencyKey& key, const AttemptId& attempt, const AttemptOutcome& outcome, MonotonicTime now) -> void
{
    forgetOld(now);
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    if (std::holds_alternative<NotRun>(outcome)) {
        dropAttempt(found, attempt);
        return;
    }
    auto& entry = found->second;
    const auto other = std::find_if(entry.others.begin(), entry.others.end(),
        [&](const AttemptRecord& record) { return record.attempt == attempt; });
    if (other != entry.others.end()) {
        setOutcome(*other, outcome);
        if (rankOf(other->outcome) > rankOf(entry.record.outcome))
            std::swap(*other, entry.record);
    } else if (entry.record.attempt == attempt) {
        setOutcome(entry.record, outcome);
    }
}

auto SeatTable::markDaemonLost(const LostDaemon& lost) -> void
{
    if (m_rebuild)
        m_rebuild->markLost(lost);
    ownerLost(lost.identity);
}

auto SeatTable::ownerLost(const DaemonIdentity& owner) -> void
{
    const auto settle = [&](AttemptRecord& record) {
        if (record.owner == owner && std::holds_alternative<Running>(record.outcome))
            record.outcome = Unknown {};
    };
    for (auto& [key, entry] : m_entries) {
        settle(entry.record);
        std::for_each(entry.others.begin(), entry.others.end(), settle);
    }
}

auto SeatTable::records(MonotonicTime now) const -> std::vector<AttemptRecord>
{
    std::vector<AttemptRecord> records;
    for (const auto& [key, entry] : m_entries) {
        if (entry.record.openedAt <= now - m_options.rebuild.retention)
            continue;
        records.push_back(entry.record);
        records.insert(records.end(), entry.others.begin(), entry.others.end());
    }
    return records;
}

auto SeatTable::learn(AttemptRecord record, MonotonicTime now) -> void
{
    if (record.openedAt <= now - m_options.rebuild.retention)
        return;
    if (std::holds_alternative<Running>(record.outcome) && m_rebuild->isLost(record.owner))
        record.outcome = Unknown {};
    const auto found = m_entries.find(record.key);
    if (found == m_entries.end()) {
        add(record);
        return;
    }
    auto& entry = found->second;
    const auto isSame = [&](const AttemptRecord& known) { return known.attempt == record.attempt; };
    const auto isKnown = isSame(entry.record) || std::any_of(entry.others.begin(), entry.others.end(), isSame);
    if (!isKnown)
        addOther(entry, record);
    if (!std::holds_alternative<Running>(record.outcome))
        recordOutcome(record.key, record.attempt, record.outcome, now);
}

auto SeatTable::add(const AttemptRecord& record) -> void
{
    auto& entry = m_entries.emplace(record.key, Entry { record, {}, record.openedAt }).first->second;
    entry.record.outcome = Running {};
    m_byAge.emplace(record.openedAt, record.key);
    m_allKeys.fetch_add(1, std::memory_order_relaxed);
    setOutcome(entry.record, record.outcome);
}

// A key is remembered for the retention of its youngest attempt.
auto SeatTable::addOther(Entry& entry, const AttemptRecord& record) -> void
{
    entry.others.push_back(record);
    entry.others.back().outcome = Running {};
    if (record.openedAt <= entry.agedAt)
        return;
    unlist(record.key, entry.agedAt);
    entry.agedAt = record.openedAt;
    m_byAge.emplace(entry.agedAt, record.key);
}

// An outcome only ever gains in certainty. An answer for which there is no room is not kept, the fact that it ran is.
auto SeatTable::setOutcome(AttemptRecord& record, const AttemptOutcome& outcome) -> void
{
    if (rankOf(outcome) < rankOf(record.outcome))
        return;
    const auto before = answerBytes(record.outcome);
    const auto bytes = answerBytes(outcome);
    if (before > 0 && bytes == 0)
        return;
    record.outcome = outcome;
    m_allAnswerBytes.fetch_sub(before, std::memory_order_relaxed);
    const auto held = m_allAnswerBytes.load(std::memory_order_relaxed);
    if (bytes == 0)
        return;
    if (bytes > m_options.maximumResponseBytes || held + bytes > m_options.maximumTotalResponseBytes)
        std::get<Ran>(record.outcome).response.reset();
    else
        m_allAnswerBytes.fetch_add(bytes, std::memory_order_relaxed);
}

auto SeatTable::dropAttempt(Entries::iterator position, const AttemptId& attempt) -> void
{
    auto& entry = position->second;
    std::erase_if(entry.others, [&](const AttemptRecord& record) { return record.attempt == attempt; });
    if (entry.record.attempt != attempt || std::holds_alternative<Ran>(entry.record.outcome))
        return;
    if (entry.others.empty()) {
        forget(position);
        return;
    }
    entry.record = std::move(entry.others.back());
    entry.others.pop_back();
}

auto SeatTable::forget(Entries::iterator position) -> void
{
    const auto& record = position->second.record;
    m_allAnswerBytes.fetch_sub(answerBytes(record.outcome), std::memory_order_relaxed);
    for (const auto& other : position->second.others)
        m_allAnswerBytes.fetch_sub(answerBytes(other.outcome), std::memory_order_relaxed);
    unlist(position->first, position->second.agedAt);
    m_entries.erase(position);
    m_allKeys.fetch_sub(1, std::memory_order_relaxed);
}

auto SeatTable::unlist(const IdempotencyKey& key, MonotonicTime agedAt) -> void
{
    const auto [first, last] = m_byAge.equal_range(agedAt);
    const auto aged = std::find_if(first, last, [&](const auto& entry) { return entry.second == key; });
    if (aged != last)
        m_byAge.erase(aged);
}

auto SeatTable::forgetOld(MonotonicTime now) -> void
{
    const auto limit = now - m_options.rebuild.retention;
    while (!m_byAge.empty() && m_byAge.begin()->first <= limit) {
        forget(m_entries.find(m_byAge.begin()->second));
    }
}

} // namespace coriandergate::once::internal
