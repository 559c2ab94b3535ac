#include "daemon/SeatFleetView.h"

#include "member/PeerSnapshot.h"
#include "member/PeerTable.h"
#include "seat/SeatDirectory.h"
#include "seat/SeatLeaseClient.h"

namespace coriandergate::daemon {

namespace {

    constexpr unsigned rankBits = 16; // ranks are the few guards of a seat
    constexpr seat::SeatTerm firstTerm { 1, 0 };

    auto epochOf(const seat::SeatTerm& term) -> std::uint64_t { return (term.epoch << rankBits) + term.rank; }

} // namespace

SeatFleetView::SeatFleetView(DaemonIdentity self, Locality locality, std::shared_ptr<seat::SeatDirectory> directory,
    std::shared_ptr<seat::SeatLeaseClient> authority, std::shared_ptr<member::PeerTable> peers,
    MonotonicDuration retention)
    : m_self(std::move(self))
    , m_locality(std::move(locality))
    , m_directory(std::move(directory))
    , m_authority(std::move(authority))
    , m_peers(std::move(peers))
    , m_retention(retention)
{
}

auto SeatFleetView::observe(const member::PeerSnapshot& snapshot, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    std::erase_if(m_replaced, [&](const once::LostDaemon& lost) { return lost.lostAt < now - 2 * m_retention; });
    // Gossip forgets who left or has been dead for long; what they remembered is gone all the same.
    for (auto seen = m_seen.begin(); seen != m_seen.end();) {
        if (snapshot.find(seen->first) != nullptr) {
            ++seen;
            continue;
        }
        m_replaced.push_back({ seen->second.identity, seen->second.dataCentre, now });
        seen = m_seen.erase(seen);
    }
    for (const auto& peer : snapshot.peers) {
        auto& seen = m_seen[peer.identity.address];
        const auto isReplaced = !seen.identity.address.empty() && seen.identity != peer.identity;
        if (isReplaced)
            m_replaced.push_back({ seen.identity, seen.dataCentre, now });
        seen = { peer.identity, peer.locality.dataCentre };
    }
}

auto SeatFleetView::seatCount() const -> unsigned { return static_cast<unsigned>(m_directory->map().seats.size()); }

auto SeatFleetView::holderOf(unsigned seat) const -> std::optional<DaemonIdentity> { return m_directory->holder(seat); }

auto SeatFleetView::rejectHolder(unsigned seat, const DaemonIdentity& daemon) const -> void
{
    m_directory->markNotHolder(seat, daemon);
}

auto SeatFleetView::tenureOf(unsigned seat, MonotonicTime now) const -> std::optional<once::SeatLease>
{
    const auto held = m_authority->heldLease(seat, now);
    if (!held)
        return std::nullopt;
    once::SeatLease tenure { seat, epochOf(held->term), held->validUntil, held->heldSince, {}, {} };
    // Who held it before isn't recorded; then every lost daemon counts.
    if (held->term != firstTerm)
        tenure.formerHolder = DaemonIdentity {};
    return tenure;
}

auto SeatFleetView::members() const -> std::vector<once::SeatRebuild::Member>
{
    std::vector<once::SeatRebuild::Member> members { { m_self, m_locality.dataCentre } };
    for (const auto& peer : m_peers->current()->peers) {
        if (peer.state != member::MemberState::Dead)
            members.push_back({ peer.identity, peer.locality.dataCentre });
    }
    return members;
}

auto SeatFleetView::lost() const -> std::vector<once::LostDaemon>
{
    const auto now = monotonicNow();
    std::vector<once::LostDaemon> lost;
    for (const auto& peer : m_peers->current()->peers) {
        if (peer.state == member::MemberState::Dead)
            lost.push_back({ peer.identity, peer.locality.dataCentre, now });
    }
    const MutexLock lock(m_mutex);
    lost.insert(lost.end(), m_replaced.begin(), m_replaced.end());
    return lost;
}

} // namespace coriandergate::daemon
