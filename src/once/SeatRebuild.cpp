#include "once/SeatRebuild.h"

#include <algorithm>

namespace coriandergate::once {

SeatRebuild::SeatRebuild(Options options, const SeatLease& lease, std::vector<Member> members,
    std::vector<LostDaemon> lost, MonotonicTime now)
    : m_options(options)
    , m_lease(lease)
    , m_startedAt(now)
{
    if (!lease.formerHolder)
        return; // no permit was ever granted for this seat
    for (auto& member : members)
        m_missing.emplace(member.identity, std::move(member));
    for (auto& daemon : lost)
        m_lost.emplace(daemon.identity, std::move(daemon));
}

auto SeatRebuild::addReport(const RebuildReport& report) -> void
{
    m_missing.erase(report.from);
    m_lost.erase(report.from);
    m_reported.insert(report.from);
    m_historyStart = std::min(m_historyStart, report.historyStart);
    m_takenOver.insert(report.takenOverFrom.begin(), report.takenOverFrom.end());
    for (const auto& daemon : report.takenOverFrom)
        m_missing.erase(daemon);
    for (const auto& daemon : report.lost) {
        if (m_reported.contains(daemon.identity))
            continue; // unreachable from the reporter, but it has reported here
        const auto [known, isNew] = m_lost.emplace(daemon.identity, daemon);
        if (!isNew) // the earlier time is probably nearer to the loss, but only the later one is surely not before it
            known->second.lostAt = std::max(known->second.lostAt, daemon.lostAt);
    }
}

auto SeatRebuild::markLost(const LostDaemon& lost) -> void
{
    m_missing.erase(lost.identity);
    if (!m_reported.contains(lost.identity))
        m_lost.emplace(lost.identity, lost);
}

auto SeatRebuild::missingReports() const -> std::vector<DaemonIdentity>
{
    std::vector<DaemonIdentity> missing;
    missing.reserve(m_missing.size());
    for (const auto& [identity, member] : m_missing)
        missing.push_back(identity);
    return missing;
}

auto SeatRebuild::isReady(MonotonicTime now) const -> bool
{
    return m_missing.empty() || now >= m_startedAt + m_options.reportTimeout;
}

auto SeatRebuild::uncertainUntil(MonotonicTime now) const -> MonotonicTime
{
    if (!m_lease.formerHolder)
        return MonotonicTime::min();
    // No daemon knows of losses before the earliest history start.
    auto gapEnd = std::min(m_historyStart, now);
    auto lost = relevantLosses(now);
    std::sort(lost.begin(), lost.end(),
        [](const LostDaemon& left, const LostDaemon& right) { return left.lostAt > right.lostAt; });
    // Of all pairs of independent losses, the one whose first loss is the latest consists of the latest loss and the
    // latest one that is independent of it.
    const auto isIndependent = [&](const LostDaemon& other) {
        return !m_options.isSpreadAcrossDataCentres || other.dataCentre != lost.front().dataCentre;
    };
    if (!lost.empty()) {
        const auto second = std::find_if(std::next(lost.begin()), lost.end(), isIndependent);
        if (second != lost.end())
            gapEnd = std::max(gapEnd, second->lostAt);
    }
    return gapEnd + m_options.startTimeout + m_options.retention;
}

// A former holder that held the seat throughout the retention granted every permit whose record still matters. It isn't
// one of the two other daemons that store these records, so its loss doesn't count.
auto SeatRebuild::isRelevant(const LostDaemon& lost) const -> bool
{
    const auto heldForRetention = m_lease.formerHoldDuration >= m_options.retention;
    if (heldForRetention && lost.identity == m_lease.formerHolder)
        return false;
    return !m_takenOver.contains(lost.identity);
}

auto SeatRebuild::relevantLosses(MonotonicTime now) const -> std::vector<LostDaemon>
{
    std::vector<LostDaemon> losses;
    for (const auto& [identity, lost] : m_lost) {
        if (isRelevant(lost) && !m_missing.contains(identity))
            losses.push_back(lost);
    }
    for (const auto& [identity, member] : m_missing) {
        const LostDaemon unreported { identity, member.dataCentre, now };
        if (isRelevant(unreported))
            losses.push_back(unreported);
    }
    return losses;
}

} // namespace coriandergate::once
