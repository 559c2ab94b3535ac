#include "seat/SeatLeaseGrantor.h"

#include "seat/SeatMap.h"

#include <algorithm>
#include <set>

namespace coriandergate::seat {

SeatLeaseGrantor::SeatLeaseGrantor(DaemonIdentity self, SeatLeaseOptions options)
    : m_self(std::move(self))
    , m_options(options)
{
}

auto SeatLeaseGrantor::adopt(const SeatMap& map, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    if (map.epoch <= m_epoch)
        return;
    m_epoch = map.epoch;
    std::set<SeatEpoch> knownEpochs;
    for (std::uint32_t seat = 0; seat < map.seats.size(); ++seat) {
        const auto& assignment = map.seats[seat];
        knownEpochs.emplace(seat, assignment.epoch);
        for (const auto& former : assignment.formerEpochs)
            knownEpochs.emplace(seat, former.epoch);
        if (std::find(assignment.grantors.begin(), assignment.grantors.end(), m_self) == assignment.grantors.end())
            continue;
        auto& state = m_states[{ seat, assignment.epoch }];
        if (!state.candidates.empty())
            continue;
        state.candidates.push_back(assignment.holder);
        state.candidates.insert(state.candidates.end(), assignment.grantors.begin(), assignment.grantors.end());
        state.leaseExpiry = now;
        state.acknowledgedAt = now;
    }
    std::erase_if(m_states, [&knownEpochs](const auto& entry) { return !knownEpochs.contains(entry.first); });
}

auto SeatLeaseGrantor::handle(const LeaseRequest& request, MonotonicTime now) -> LeaseResponse
{
    LeaseResponse response { request.holder, m_self, request.seat, request.term, request.sequence, false,
        m_options.leaseDuration, 0 };
    const MutexLock lock(m_mutex);
    const auto found = m_states.find({ request.seat, request.term.epoch });
    if (request.grantor != m_self || found == m_states.end())
        return response;
    auto& state = found->second;
    if (isCandidate(state, request) && request.term.rank >= state.promisedRank) {
        grant(state, request, now);
        response.isGranted = true;
    }
    response.promisedRank = state.promisedRank;
    return response;
}

auto SeatLeaseGrantor::handle(const PrepareRequest& request, MonotonicTime now) -> PrepareResponse
{
    PrepareResponse response { request.candidate, m_self, request.seat, request.epoch, request.rank, false, {} };
    const MutexLock lock(m_mutex);
    const auto isClosing = request.rank == closedRank;
    if (request.grantor != m_self || (!isClosing && !m_states.contains({ request.seat, request.epoch })))
        return response;
    auto& state = m_states[{ request.seat, request.epoch }];
    const auto hasLowerRankLease = state.leasedRank < request.rank && hasLiveLease(state, now);
    if (request.rank < state.promisedRank || (!isClosing && hasLowerRankLease))
        return response;
    state.promisedRank = request.rank;
    response.isPromised = true;
    if (state.leaseExpiry > now)
        response.remainingLease = std::chrono::ceil<std::chrono::milliseconds>(state.leaseExpiry - now);
    return response;
}

auto SeatLeaseGrantor::release(const LeaseRelease& message, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    const auto found = m_states.find({ message.seat, message.term.epoch });
    if (message.grantor != m_self || found == m_states.end())
        return;
    auto& state = found->second;
    const auto isLeased = message.term.rank == state.leasedRank && state.leaseExpiry > now;
    if (!isLeased || state.candidates.size() <= state.leasedRank
        || state.candidates[state.leasedRank] != message.holder)
        return;
    // The holder has stopped for good: a lease request of its own that this message overtook must not be granted.
    state.promisedRank = std::max(state.promisedRank, message.term.rank + 1);
    state.leaseExpiry = now;
}

auto SeatLeaseGrantor::unleasedSince(std::uint32_t seat, std::uint64_t epoch, MonotonicTime now) const
    -> std::optional<MonotonicTime>
{
    const MutexLock lock(m_mutex);
    const auto found = m_states.find({ seat, epoch });
    if (found == m_states.end() || found->second.candidates.empty() || hasLiveLease(found->second, now))
        return std::nullopt;
    return std::min(found->second.leaseExpiry, found->second.acknowledgedAt + m_options.leaseDuration);
}

auto SeatLeaseGrantor::hasLiveLease(const SeatEpochState& state, MonotonicTime now) const -> bool
{
    return now < state.leaseExpiry && now < state.acknowledgedAt + m_options.leaseDuration;
}

auto SeatLeaseGrantor::isCandidate(const SeatEpochState& state, const LeaseRequest& request) const -> bool
{
    return request.term.rank < state.candidates.size() && state.candidates[request.term.rank] == request.holder;
}

auto SeatLeaseGrantor::grant(SeatEpochState& state, const LeaseRequest& request, MonotonicTime now) const -> void
{
    const auto isNewRank = state.lastSequence == 0 || request.term.rank != state.leasedRank;
    if (isNewRank || request.acknowledgedSequence > state.acknowledgedSequence) {
        state.acknowledgedSequence = request.acknowledgedSequence;
        state.acknowledgedAt = now;
    }
    state.promisedRank = request.term.rank;
    state.leasedRank = request.term.rank;
    state.lastSequence = std::max<std::uint64_t>(request.sequence, 1);
    state.leaseExpiry = std::max(state.leaseExpiry, now + m_options.leaseDuration);
}

} // namespace coriandergate::seat
