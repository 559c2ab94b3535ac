#include "once/SeatRebuild.h"

#include <algorithm>

namespace coriandergate::once {

SeatRebuild::SeatRebuild(Options options, const SeatLease& tenure, std::vector<Member> members,
    std::vector<LostDaemon> lost, MonotonicTime now)
    : m_options(options)
    , m_tenure(tenure)
    , m_startedAt(now)
{
    if (!tenure.formerHolder)
        return; // no permit was ever granted here
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
    m_remembersSince = std::min(m_remembersSince, report.historyStart);
    m_absorbed.insert(report.takenOverFrom.begin(), report.takenOverFrom.end());
    for (const auto& daemon : report.takenOverFrom)
        m_missing.erase(daemon);
    for (const auto& daemon : report.lost) {
        if (m_reported.contains(daemon.identity))
            continue; // cut off from the reporter, but not from here
        const auto [known, isNew] = m_lost.emplace(daemon.identity, daemon);
        if (!isNew) // of two opinions, the earlier loss is nearer to the truth, but only the later is safe
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
    if (!m_tenure.formerHolder)
        return MonotonicTime::min();
    // Losses from before the oldest memory are known to nobody.
    auto gapBefore = std::min(m_remembersSince, now);
    auto lost = gaps(now);
    std::sort(lost.begin(), lost.end(),
        [](const LostDaemon& left, const LostDaemon& right) { return left.lostAt > right.lostAt; });
    const auto isPartner = [&](const LostDaemon& other) {
        return !m_options.isSpreadAcrossDataCentres || other.dataCentre != lost.front().dataCentre;
    };
    if (!lost.empty()) {
        const auto partner = std::find_if(std::next(lost.begin()), lost.end(), isPartner);
        if (partner != lost.end())
            gapBefore = std::max(gapBefore, partner->lostAt);
    }
    return gapBefore + m_options.startTimeout + m_options.retention;
}

// The holder before is not one of the two others for keys that it granted itself, and when it held the seat all through
// the retention there are no other keys to fear.
auto SeatRebuild::isCounted(const LostDaemon& lost) const -> bool
{
    const auto heldThroughout = m_tenure.formerHoldDuration >= m_options.retention;
    if (heldThroughout && lost.identity == m_tenure.formerHolder)
        return false;
    return !m_absorbed.contains(lost.identity);
}

auto SeatRebuild::gaps(MonotonicTime now) const -> std::vector<LostDaemon>
{
    std::vector<LostDaemon> gaps;
    for (const auto& [identity, lost] : m_lost) {
        if (isCounted(lost) && !m_missing.contains(identity))
            gaps.push_back(lost);
    }
    for (const auto& [identity, member] : m_missing) {
        const LostDaemon silent { identity, member.dataCentre, now };
        if (isCounted(silent))
            gaps.push_back(silent);
    }
    return gaps;
}

} // namespace coriandergate::once
