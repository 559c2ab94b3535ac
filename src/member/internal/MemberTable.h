// A node's members, found by address and drawn at random by nearness.
#pragma once

#include "base/Locality.h"
#include "member/Member.h"

#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace coriandergate::member::internal {

// Nearness says how far a member is: in the own data centre, elsewhere in the region, or in another region.
enum class Nearness {
    Near,
    Region,
    Far,
};

// MemberTable is not thread-safe. References to members hold until the next insert() or eraseIf().
class MemberTable {
public:
    // MemberTable() is empty. `leastFarShare` is the share of messages to other regions when the own one is large.
    MemberTable(Locality here, double leastFarShare);

    // insert() adds a member that isn't there yet.
    auto insert(Member member) -> Member&;

    // find() is the member at `address`, or null.
    [[nodiscard]] auto find(const std::string& address) -> Member*;
    [[nodiscard]] auto find(const std::string& address) const -> const Member*;

    // eraseDeadBefore() forgets the dead whose death was noted before `limit`.
    auto eraseDeadBefore(MonotonicTime limit) -> void;

    // touch() says that some state or locality has changed, so that the lists for drawing are made again.
    auto touch() -> void { m_isListed = false; }

    // randomReachable() is a member to talk to: mostly in the own data centre, a few in the region and the least in
    // other regions, and from small groups more than from large ones. Null when there is none.
    [[nodiscard]] auto randomReachable(std::mt19937& random, MonotonicTime now) -> const Member*;

    // nextToProbe() goes round the nearest members in random order, so that each is probed within two rounds; some
    // probes go to random members farther away.
    [[nodiscard]] auto nextToProbe(std::mt19937& random, MonotonicTime now) -> const Member*;

    // randomDead() is a member believed dead, or null.
    [[nodiscard]] auto randomDead(std::mt19937& random, MonotonicTime now) -> const Member*;

    [[nodiscard]] auto nearnessOf(const Member& member) const -> Nearness;
    [[nodiscard]] auto members() const -> const std::vector<Member>& { return m_members; }
    [[nodiscard]] auto size() const -> std::size_t { return m_members.size(); }

private:
    using Indices = std::vector<std::uint32_t>;

    auto list(MonotonicTime now) -> void;
    auto shareOut() -> void;
    [[nodiscard]] auto draw(const Indices& indices, std::mt19937& random) const -> const Member*;
    [[nodiscard]] auto drawScope(std::mt19937& random) const -> Nearness;

    const Locality m_here;
    const double m_leastFarShare;
    std::vector<Member> m_members;
    std::unordered_map<std::string, std::uint32_t> m_indexByAddress;
    Indices m_near;
    Indices m_region;
    Indices m_far;
    Indices m_dead;
    Indices m_probeRound;
    double m_farShare = 0;
    double m_outsideShare = 0;
    bool m_isListed = false;
    MonotonicTime m_listedAt;
};

} // namespace coriandergate::member::internal
