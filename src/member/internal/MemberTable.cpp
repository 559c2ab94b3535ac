#include "member/internal/MemberTable.h"

#include "member/MemberProfile.h"

#include <algorithm>

namespace coriandergate::member::internal {

namespace {

    // Lists are made again at most so often, since each costs a pass over all members.
    constexpr std::chrono::milliseconds listInterval { 1000 };
    constexpr double leastOutsideShare = 0.125;
    // Each group of daemons, small or large, sends this many times the messages of one daemon to the outside, so that
    // news gets out of a small group too.
    constexpr double outsideMessages = 4;

    auto isReachable(const Member& member) -> bool
    {
        return member.record.state == MemberState::Alive || member.record.state == MemberState::Suspect;
    }

}

MemberTable::MemberTable(Locality here, double leastFarShare)
    : m_here(std::move(here))
    , m_leastFarShare(leastFarShare)
{
}

auto MemberTable::insert(Member member) -> Member&
{
    m_indexByAddress[member.record.address] = static_cast<std::uint32_t>(m_members.size());
    m_members.push_back(std::move(member));
    touch();
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
    const auto erased = std::erase_if(m_members,
        [limit](const Member& member) { return member.record.state == MemberState::Dead && member.changedAt < limit; });
    if (erased == 0)
        return;
    m_indexByAddress.clear();
    for (std::uint32_t i = 0; i < m_members.size(); ++i)
        m_indexByAddress[m_members[i].record.address] = i;
    m_near.clear();
    m_region.clear();
    m_far.clear();
    m_dead.clear();
    m_probeRound.clear();
    m_listedAt = {};
    touch();
}

auto MemberTable::randomReachable(std::mt19937& random, MonotonicTime now) -> const Member*
{
    list(now);
    const auto scope = drawScope(random);
    const auto* const member = draw(scope == Nearness::Far ? m_far
            : scope == Nearness::Region                    ? m_region
                                                           : m_near,
        random);
    return member != nullptr && isReachable(*member) ? member : nullptr;
}

auto MemberTable::nextToProbe(std::mt19937& random, MonotonicTime now) -> const Member*
{
    list(now);
    const auto roll = std::uniform_real_distribution<>()(random);
    const auto& outside = roll < m_leastFarShare ? m_far : m_region;
    if (roll < m_leastFarShare + leastOutsideShare && !outside.empty()) {
        const auto* const member = draw(outside, random);
        return isReachable(*member) ? member : nullptr;
    }
    for (auto tries = m_members.size() + 1; tries > 0; --tries) {
        if (m_probeRound.empty()) {
            m_probeRound = !m_near.empty() ? m_near : !m_region.empty() ? m_region : m_far;
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
    list(now);
    const auto* const member = draw(m_dead, random);
    return member != nullptr && member->record.state == MemberState::Dead ? member : nullptr;
}

auto MemberTable::nearnessOf(const Member& member) const -> Nearness
{
    if (!member.record.profile || member.record.profile->locality.region != m_here.region)
        return Nearness::Far;
    return member.record.profile->locality.dataCentre == m_here.dataCentre ? Nearness::Near : Nearness::Region;
}

auto MemberTable::list(MonotonicTime now) -> void
{
    const auto isEmpty = m_near.empty() && m_region.empty() && m_far.empty();
    if (m_isListed || (!isEmpty && now < m_listedAt + listInterval))
        return;
    m_isListed = true;
    m_listedAt = now;
    for (auto* const indices : { &m_near, &m_region, &m_far, &m_dead })
        indices->clear();
    for (std::uint32_t i = 0; i < m_members.size(); ++i) {
        if (m_members[i].record.state == MemberState::Dead) {
            m_dead.push_back(i);
        } else if (isReachable(m_members[i])) {
            const auto nearness = nearnessOf(m_members[i]);
            (nearness == Nearness::Near ? m_near : nearness == Nearness::Region ? m_region : m_far).push_back(i);
        }
    }
    shareOut();
}

auto MemberTable::draw(const Indices& indices, std::mt19937& random) const -> const Member*
{
    if (indices.empty())
        return nullptr;
    return &m_members[indices[std::uniform_int_distribution<std::size_t>(0, indices.size() - 1)(random)]];
}

auto MemberTable::drawScope(std::mt19937& random) const -> Nearness
{
    const auto roll = std::uniform_real_distribution<>()(random);
    if (!m_far.empty() && (roll < m_farShare || (m_near.empty() && m_region.empty())))
        return Nearness::Far;
    if (!m_region.empty() && (roll < m_farShare + m_outsideShare || m_near.empty()))
        return Nearness::Region;
    return Nearness::Near;
}

auto MemberTable::shareOut() -> void
{
    const auto near = static_cast<double>(m_near.size() + 1);
    const auto region = near + static_cast<double>(m_region.size());
    const auto all = region + static_cast<double>(m_far.size());
    // No more goes out than would if members were drawn without regard to where they are.
    m_farShare = std::min((all - region) / all, std::max(m_leastFarShare, outsideMessages / region));
    m_outsideShare = std::min((region - near) / region, std::max(leastOutsideShare, outsideMessages / near));
}

} // namespace coriandergate::member::internal
