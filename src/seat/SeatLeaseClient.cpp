#include "seat/SeatLeaseClient.h"

#include "seat/SeatLeaseGrantor.h"
#include "seat/SeatMap.h"

#include <algorithm>
#include <functional>

namespace coriandergate::seat {

namespace {

    // Bounds the memory of a holder that gets no responses.
    constexpr std::size_t maximumOutstandingRequestsPerGrantor = 16;

} // namespace

SeatLeaseClient::SeatLeaseClient(DaemonIdentity self, SeatLeaseGrantor& grantor, SeatLeaseOptions options)
    : m_self(std::move(self))
    , m_grantor(grantor)
    , m_options(options)
{
}

auto SeatLeaseClient::adopt(const SeatMap& map, MonotonicTime now) -> std::vector<SeatMessage>
{
    Messages messages;
    const MutexLock lock(m_mutex);
    if (map.epoch <= m_epoch)
        return messages;
    m_epoch = map.epoch;
    for (std::uint32_t seatIndex = 0; seatIndex < map.seats.size(); ++seatIndex)
        adoptSeatLocked(seatIndex, map.seats[seatIndex], now, messages);
    return messages;
}

auto SeatLeaseClient::adoptSeatLocked(
    std::uint32_t seatIndex, const SeatAssignment& assignment, MonotonicTime now, Messages& messages) -> void
{
    const auto rank = assignment.rankOf(m_self);
    SeatState next { assignment, rank.value_or(0), rank == 0U && assignment.formerEpochs.empty() };
    if (const auto found = m_seats.find(seatIndex); found != m_seats.end()) {
        auto& existing = found->second;
        if (existing.assignment.epoch == assignment.epoch) {
            existing.assignment = assignment;
            recordTerminatedGrantors(existing, now);
            return;
        }
        if (rank == 0U)
            carryOverLease(existing, next, now);
        if (!next.previousEpochExpiry)
            stop(existing, seatIndex, messages);
        m_seats.erase(found);
    }
    if (!rank)
        return;
    if (rank == 0U)
        startPreparing(next, now);
    m_seats.emplace(seatIndex, std::move(next));
}

auto SeatLeaseClient::carryOverLease(SeatState& from, SeatState& to, MonotonicTime now) const -> void
{
    const auto expiry = from.phase == Phase::Leasing ? majorityLeaseExpiry(from) : from.previousEpochExpiry;
    if (from.phase == Phase::Stopped || !expiry || now >= *expiry || !from.lease)
        return;
    to.previousEpochExpiry = expiry;
    to.lease = from.lease;
    from.phase = Phase::Stopped;
}

auto SeatLeaseClient::recordTerminatedGrantors(SeatState& seat, MonotonicTime now) const -> void
{
    for (auto& round : seat.prepareRounds) {
        for (const auto& former : seat.assignment.formerEpochs) {
            if (former.epoch != round.epoch)
                continue;
            for (const auto& grantor : former.terminatedGrantors)
                round.earlierLeaseExpiry.emplace(grantor, now + m_options.leaseDuration + m_options.clockMargin);
        }
    }
}

auto SeatLeaseClient::tick(MonotonicTime now) -> std::vector<SeatMessage>
{
    Messages messages;
    const MutexLock lock(m_mutex);
    for (auto& [seatIndex, seat] : m_seats)
        tickSeat(seat, seatIndex, now, messages);
    return messages;
}

auto SeatLeaseClient::handle(const LeaseResponse& response, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    const auto found = m_seats.find(response.seat);
    if (found == m_seats.end() || response.holder != m_self)
        return;
    auto& seat = found->second;
    if (seat.phase != Phase::Leasing || response.term != SeatTerm { seat.assignment.epoch, seat.rank })
        return;
    auto& state = seat.grantorStates[response.grantor];
    const auto sent = state.requestSentAt.find(response.sequence);
    if (sent == state.requestSentAt.end())
        return;
    if (response.isGranted) {
        const auto expiry
            = sent->second + std::min(response.leaseDuration, m_options.leaseDuration) - m_options.clockMargin;
        state.leaseExpiry = std::max(state.leaseExpiry.value_or(expiry), expiry);
        state.acknowledgedSequence = std::max(state.acknowledgedSequence, response.sequence);
    } else if (response.promisedRank > seat.rank) {
        state.hasPromisedHigherRank = true;
    }
    state.requestSentAt.erase(state.requestSentAt.begin(), std::next(sent));
    const auto higherRankPromises = std::count_if(seat.grantorStates.begin(), seat.grantorStates.end(),
        [](const auto& entry) { return entry.second.hasPromisedHigherRank; });
    if (static_cast<std::size_t>(higherRankPromises) >= majorityOf(seat.assignment.grantors.size()))
        seat.phase = Phase::Stopped;
    if (!seat.lease && majorityLeaseExpiry(seat))
        seat.lease = SeatLease { response.term, now, *majorityLeaseExpiry(seat), seat.isFirstLease };
}

auto SeatLeaseClient::handle(const PrepareResponse& response, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    const auto found = m_seats.find(response.seat);
    if (found == m_seats.end() || response.candidate != m_self || !response.isPromised)
        return;
    for (auto& round : found->second.prepareRounds) {
        if (round.epoch == response.epoch && round.rank == response.rank)
            round.earlierLeaseExpiry.emplace(response.grantor, now + response.remainingLease + m_options.clockMargin);
    }
}

auto SeatLeaseClient::heldLease(std::uint32_t seatIndex, MonotonicTime now) const -> std::optional<SeatLease>
{
    const MutexLock lock(m_mutex);
    const auto found = m_seats.find(seatIndex);
    return found == m_seats.end() ? std::nullopt : leaseOf(found->second, now);
}

auto SeatLeaseClient::leaseOf(const SeatState& seat, MonotonicTime now) const -> std::optional<SeatLease>
{
    auto expiry = seat.phase == Phase::Leasing ? majorityLeaseExpiry(seat) : std::nullopt;
    if (seat.phase != Phase::Stopped && seat.previousEpochExpiry)
        expiry = std::max(expiry.value_or(*seat.previousEpochExpiry), *seat.previousEpochExpiry);
    if (!expiry || now >= *expiry || !seat.lease)
        return std::nullopt;
    return SeatLease { seat.lease->term, seat.lease->heldSince, *expiry, seat.lease->isFirstLease };
}

auto SeatLeaseClient::releaseAll(MonotonicTime) -> std::vector<SeatMessage>
{
    Messages messages;
    const MutexLock lock(m_mutex);
    for (auto& [seatIndex, seat] : m_seats)
        stop(seat, seatIndex, messages);
    return messages;
}

auto SeatLeaseClient::heldSeats(MonotonicTime now) const -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> held;
    const MutexLock lock(m_mutex);
    for (const auto& [seatIndex, seat] : m_seats) {
        if (leaseOf(seat, now))
            held.push_back(seatIndex);
    }
    return held;
}

auto SeatLeaseClient::leasedEpochs(MonotonicTime now) const -> std::map<std::uint32_t, std::uint64_t>
{
    std::map<std::uint32_t, std::uint64_t> epochs;
    const MutexLock lock(m_mutex);
    for (const auto& [seatIndex, seat] : m_seats) {
        const auto expiry = majorityLeaseExpiry(seat);
        if (seat.phase == Phase::Leasing && expiry && now < *expiry)
            epochs.emplace(seatIndex, seat.assignment.epoch);
    }
    return epochs;
}

auto SeatLeaseClient::PrepareRound::isComplete(MonotonicTime now, bool isHeldBySelf) const -> bool
{
    const auto completedGrantors
        = std::count_if(grantors.begin(), grantors.end(), [this, now, isHeldBySelf](const auto& grantor) {
              const auto found = earlierLeaseExpiry.find(grantor);
              return found != earlierLeaseExpiry.end() && (isHeldBySelf || now >= found->second);
          });
    return static_cast<std::size_t>(completedGrantors) >= majorityOf(grantors.size());
}

auto SeatLeaseClient::startPreparing(SeatState& seat, MonotonicTime now) const -> void
{
    seat.phase = Phase::Preparing;
    for (const auto& former : seat.assignment.formerEpochs) {
        PrepareRound round { former.epoch, closedRank, former.grantors, {} };
        for (const auto& grantor : former.terminatedGrantors)
            round.earlierLeaseExpiry.emplace(grantor, now + m_options.leaseDuration + m_options.clockMargin);
        seat.prepareRounds.push_back(std::move(round));
    }
    if (seat.rank > 0)
        seat.prepareRounds.push_back({ seat.assignment.epoch, seat.rank, seat.assignment.grantors, {} });
}

auto SeatLeaseClient::stop(SeatState& seat, std::uint32_t seatIndex, Messages& messages) const -> void
{
    if (seat.phase == Phase::Leasing) {
        for (const auto& grantor : seat.assignment.grantors)
            messages.emplace_back(LeaseRelease { m_self, grantor, seatIndex, { seat.assignment.epoch, seat.rank } });
    }
    seat.phase = Phase::Stopped;
}

auto SeatLeaseClient::tickSeat(SeatState& seat, std::uint32_t seatIndex, MonotonicTime now, Messages& messages) const
    -> void
{
    if (seat.phase == Phase::Waiting && shouldTakeOver(seat, seatIndex, now))
        startPreparing(seat, now);
    if (seat.phase == Phase::Preparing && isPrepared(seat, now))
        startLeasing(seat, now);
    const auto isActive = seat.phase == Phase::Preparing || seat.phase == Phase::Leasing;
    if (!isActive || (seat.nextRequestAt && now < *seat.nextRequestAt))
        return;
    if (seat.phase == Phase::Preparing)
        appendPrepareRequests(seat, seatIndex, messages);
    else
        appendLeaseRequests(seat, seatIndex, now, messages);
    seat.nextRequestAt = now + (majorityLeaseExpiry(seat) ? m_options.renewalInterval : m_options.retryInterval);
}

auto SeatLeaseClient::isPrepared(const SeatState& seat, MonotonicTime now) const -> bool
{
    // While this daemon's leases of the previous epoch are valid, no other can hold the seat, so promises suffice.
    const auto isHeldBySelf = seat.previousEpochExpiry && now < *seat.previousEpochExpiry;
    return std::all_of(seat.prepareRounds.begin(), seat.prepareRounds.end(),
        [now, isHeldBySelf](const auto& round) { return round.isComplete(now, isHeldBySelf); });
}

auto SeatLeaseClient::startLeasing(SeatState& seat, MonotonicTime now) const -> void
{
    if (!seat.previousEpochExpiry || now >= *seat.previousEpochExpiry)
        seat.lease.reset(); // another daemon may have held the seat in between
    seat.phase = Phase::Leasing;
    seat.nextRequestAt.reset();
}

auto SeatLeaseClient::shouldTakeOver(const SeatState& seat, std::uint32_t seatIndex, MonotonicTime now) const -> bool
{
    const auto unleasedSince = m_grantor.unleasedSince(seatIndex, seat.assignment.epoch, now);
    // Leaves the holder time to acquire its first lease, and each lower rank time to take over first.
    const auto grace = m_options.leaseDuration / 2 + m_options.takeoverDelayPerRank * (seat.rank - 1);
    return unleasedSince && now >= *unleasedSince + grace;
}

auto SeatLeaseClient::appendPrepareRequests(const SeatState& seat, std::uint32_t seatIndex, Messages& messages) const
    -> void
{
    for (const auto& round : seat.prepareRounds) {
        for (const auto& grantor : round.grantors) {
            if (!round.earlierLeaseExpiry.contains(grantor))
                messages.emplace_back(PrepareRequest { m_self, grantor, seatIndex, round.epoch, round.rank });
        }
    }
}

auto SeatLeaseClient::appendLeaseRequests(
    SeatState& seat, std::uint32_t seatIndex, MonotonicTime now, Messages& messages) const -> void
{
    for (const auto& grantor : seat.assignment.grantors) {
        auto& state = seat.grantorStates[grantor];
        const auto sequence = ++seat.lastSequence;
        state.requestSentAt.emplace(sequence, now);
        if (state.requestSentAt.size() > maximumOutstandingRequestsPerGrantor)
            state.requestSentAt.erase(state.requestSentAt.begin());
        messages.emplace_back(LeaseRequest {
            m_self, grantor, seatIndex, { seat.assignment.epoch, seat.rank }, sequence, state.acknowledgedSequence });
    }
}

auto SeatLeaseClient::majorityLeaseExpiry(const SeatState& seat) const -> std::optional<MonotonicTime>
{
    std::vector<MonotonicTime> expiries;
    for (const auto& [grantor, state] : seat.grantorStates) {
        if (state.leaseExpiry)
            expiries.push_back(*state.leaseExpiry);
    }
    const auto needed = majorityOf(seat.assignment.grantors.size());
    if (expiries.size() < needed)
        return std::nullopt;
    std::sort(expiries.begin(), expiries.end(), std::greater<> {});
    return expiries[needed - 1];
}

} // namespace coriandergate::seat
