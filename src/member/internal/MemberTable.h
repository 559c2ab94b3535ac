// The members known to a gossip node: lookup by address and random selection weighted by proximity.
//
//   MemberTable table(ownLocality, 0.03125);
//   table.insert(member);
//   if (const auto* peer = table.randomReachable(random, now)) ...
#pragma once

#include "base/Locality.h"
#include "member/Member.h"

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace coriandergate::member::internal {

// Proximity classifies a member's locality relative to the own one.
enum class Proximity {
    SameDataCentre,
    SameRegion,
    OtherRegion,
};

// MemberTable is not thread-safe. References to members are valid until the next insert() or eraseDeadBefore().
class MemberTable {
public:
    // MemberTable() is empty. At least `minimumCrossRegionShare` of the messages go to other regions, unless these hold
    // a smaller share of the members.
    MemberTable(Locality ownLocality, double minimumCrossRegionShare);

    // insert() adds a member whose address is not in the table yet.
    auto insert(Member member) -> Member&;

    // find() returns the member at `address`, or null.
    [[nodiscard]] auto find(const std::string& address) -> Member*;
    [[nodiscard]] auto find(const std::string& address) const -> const Member*;

    // eraseDeadBefore() removes the members that have been dead since before `limit`.
    auto eraseDeadBefore(MonotonicTime limit) -> void;

    // invalidateGroups() marks the groups used for random selection as outdated. Call it when the state or locality of
    // a member changes.
    auto invalidateGroups() -> void { m_areGroupsCurrent = false; }

    // randomReachable() returns a random alive or suspect member: mostly one in the own data centre, less often one
    // elsewhere in the region, least often one in another region. Daemons in a small data centre or region choose
    // members outside it more often. Null when no member is found.
    [[nodiscard]] auto randomReachable(std::mt19937& random, MonotonicTime now) -> const Member*;

    // nextToProbe() returns the next member of the nearest non-empty group, or null. The order is round-robin and
    // reshuffled each round, so that each member is probed within two rounds. Some calls return a random member farther
    // away instead.
    [[nodiscard]] auto nextToProbe(std::mt19937& random, MonotonicTime now) -> const Member*;

    // randomDead() returns a random dead member, or null.
    [[nodiscard]] auto randomDead(std::mt19937& random, MonotonicTime now) -> const Member*;

    [[nodiscard]] auto proximityOf(const Member& member) const -> Proximity;
    [[nodiscard]] auto members() const -> const std::vector<Member>& { return m_members; }
    [[nodiscard]] auto size() const -> std::size_t { return m_members.size(); }

private:
    using Indices = std::vector<std::uint32_t>;

    auto refreshGroups(MonotonicTime now) -> void;
    auto updateShares() -> void;
    [[nodiscard]] auto randomMember(const Indices& indices, std::mt19937& random) const -> const Member*;
    [[nodiscard]] auto randomProximity(std::mt19937& random) const -> Proximity;

    const Locality m_ownLocality;
    const double m_minimumCrossRegionShare;
    std::vector<Member> m_members;
    std::unordered_map<std::string, std::uint32_t> m_indexByAddress;
    Indices m_sameDataCentre;
    Indices m_sameRegion;
    Indices m_otherRegions;
    Indices m_dead;
    Indices m_probeRound;
    double m_crossRegionShare = 0;
    double m_crossDataCentreShare = 0;
    bool m_areGroupsCurrent = false;
    MonotonicTime m_groupsRefreshedAt;
};

} // namespace coriandergate::member::internal
