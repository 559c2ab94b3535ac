#include "member/internal/MemberTable.h"

#include "member/MemberProfile.h"

#include <algorithm>

namespace coriandergate::member::internal {

namespace {

    // Minimum time between refreshes of the groups, because a refresh iterates over all members.
    constexpr std::chrono::milliseconds groupRefreshInterval { 1000 };
    constexpr double minimumCrossDataCentreShare = 0.125; // of messages and of probes
    // The daemons of a data centre or region together send at least as many messages out of it as this number of
    // daemons sends in total, so that updates also spread from small groups.
    constexpr double minimumCrossGroupSenders = 4;

    auto isReachable(const Member& member) -> bool
    {
        return member.record.state == MemberState::Alive || member.record.state == MemberState::Suspect;
    }

}

MemberTable::MemberTable(Locality ownLocality, double minimumCrossRegionShare)
    : m_ownLocality(std::move(ownLocality))
    , m_minimumCrossRegionShare(minimumCrossRegionShare)
{
}

auto MemberTable::insert(Member member) -> Member&
{
    m_indexByAddress[member.record.address] = static_cast<std::uint32_t>(m_members.size());
    m_members.push_back(std::move(member));
    invalidateGroups();
    return m_members.back();
}

auto MemberTable::find(const std::string& address) -> Member*
{
    const auto index = m_indexByAddress.find(address);
    return index == m_indexByAddress.end() ? nullptr : &m_members[index->second];
}

auto MemberTable::find(const std::string& address) const -> const Member*
{
    const auto index = m_indexByAddress.find(address);
    return index == m_indexByAddress.end() ? nullptr : &m_members[index->second];
}

auto MemberTable::eraseDeadBefore(MonotonicTime limit) -> void
{
    const auto erased = std::erase_if(m_members, [limit](const Member& member) {
        return member.record.state == MemberState::Dead && member.stateChangedAt < limit;
    });
    if (erased == 0)
        return;
    m_indexByAddress.clear();
    for (std::uint32_t i = 0; i < m_members.size(); ++i)
        m_indexByAddress[m_members[i].record.address] = i;
    m_sameDataCentre.clear();
    m_sameRegion.clear();
    m_otherRegions.clear();
    m_dead.clear();
    m_probeRound.clear();
    m_groupsRefreshedAt = {};
    invalidateGroups();
}

auto MemberTable::randomReachable(std::mt19937& random, MonotonicTime now) -> const Member*
{
    refreshGroups(now);
    const auto proximity = randomProximity(random);
    const auto* const member = randomMember(proximity == Proximity::OtherRegion ? m_otherRegions
            : proximity == Proximity::SameRegion                                ? m_sameRegion
                                                                                : m_sameDataCentre,
        random);
    return member != nullptr && isReachable(*member) ? member : nullptr;
}

auto MemberTable::nextToProbe(std::mt19937& random, MonotonicTime now) -> const Member*
{
    refreshGroups(now);
    const auto roll = std::uniform_real_distribution<>()(random);
    const auto& outside = roll < m_minimumCrossRegionShare ? m_otherRegions : m_sameRegion;
    if (roll < m_minimumCrossRegionShare + minimumCrossDataCentreShare && !outside.empty()) {
        const auto* const member = randomMember(outside, random);
        return isReachable(*member) ? member : nullptr;
    }
    for (auto attempts = m_members.size() + 1; attempts > 0; --attempts) {
        if (m_probeRound.empty()) {
            m_probeRound = !m_sameDataCentre.empty() ? m_sameDataCentre
                : !m_sameRegion.empty()              ? m_sameRegion
                                                     : m_otherRegions;
            std::shuffle(m_probeRound.begin(), m_probeRound.end(), random);
        }
        if (m_probeRound.empty())
            return nullptr;
        const auto& member = m_members[m_probeRound.back()];
        m_probeRound.pop_back();
        if (isReachable(member))
            return &member;
    }
    return nullptr;
}

auto MemberTable::randomDead(std::mt19937& random, MonotonicTime now) -> const Member*
{
    refreshGroups(now);
    const auto* const member = randomMember(m_dead, random);
    return member != nullptr && member->record.state == MemberState::Dead ? member : nullptr;
}

auto MemberTable::proximityOf(const Member& member) const -> Proximity
{
    if (!member.record.profile || member.record.profile->locality.region != m_ownLocality.region)
        return Proximity::OtherRegion;
    return member.record.profile->locality.dataCentre == m_ownLocality.dataCentre ? Proximity::SameDataCentre
                                                                                  : Proximity::SameRegion;
}

auto MemberTable::refreshGroups(MonotonicTime now) -> void
{
    const auto areGroupsEmpty = m_sameDataCentre.empty() && m_sameRegion.empty() && m_otherRegions.empty();
    if (m_areGroupsCurrent || (!areGroupsEmpty && now < m_groupsRefreshedAt + groupRefreshInterval))
        return;
    m_areGroupsCurrent = true;
    m_groupsRefreshedAt = now;
    for (auto* const indices : { &m_sameDataCentre, &m_sameRegion, &m_otherRegions, &m_dead })
        indices->clear();
    for (std::uint32_t i = 0; i < m_members.size(); ++i) {
        if (m_members[i].record.state == MemberState::Dead) {
            m_dead.push_back(i);
        } else if (isReachable(m_members[i])) {
            const auto proximity = proximityOf(m_members[i]);
            (proximity == Proximity::SameDataCentre      ? m_sameDataCentre
                    : proximity == Proximity::SameRegion ? m_sameRegion
                                                         : m_otherRegions)
                .push_back(i);
        }
    }
    updateShares();
}

auto MemberTable::randomMember(const Indices& indices, std::mt19937& random) const -> const Member*
{
    if (indices.empty())
        return nullptr;
    return &m_members[indices[std::uniform_int_distribution<std::size_t>(0, indices.size() - 1)(random)]];
}

auto MemberTable::randomProximity(std::mt19937& random) const -> Proximity
{
    const auto roll = std::uniform_real_distribution<>()(random);
    if (!m_otherRegions.empty() && (roll < m_crossRegionShare || (m_sameDataCentre.empty() && m_sameRegion.empty())))
        return Proximity::OtherRegion;
    if (!m_sameRegion.empty() && (roll < m_crossRegionShare + m_crossDataCentreShare || m_sameDataCentre.empty()))
        return Proximity::SameRegion;
    return Proximity::SameDataCentre;
}

auto MemberTable::updateShares() -> void
{
    const auto dataCentreSize = static_cast<double>(m_sameDataCentre.size() + 1);
    const auto regionSize = dataCentreSize + static_cast<double>(m_sameRegion.size());
    const auto fleetSize = regionSize + static_cast<double>(m_otherRegions.size());
    // The share of outside messages is capped at what uniform selection over all members would give.
    m_crossRegionShare = std::min((fleetSize - regionSize) / fleetSize,
        std::max(m_minimumCrossRegionShare, minimumCrossGroupSenders / regionSize));
    m_crossDataCentreShare = std::min((regionSize - dataCentreSize) / regionSize,
        std::max(minimumCrossDataCentreShare, minimumCrossGroupSenders / dataCentreSize));
}

} // namespace coriandergate::member::internal
