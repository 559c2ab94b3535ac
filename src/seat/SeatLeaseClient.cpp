#include "seat/SeatLeaseClient.h"

#include "seat/SeatLeaseGrantor.h"
#include "seat/SeatMap.h"

#include <algorithm>
#include <functional>

namespace coriandergate::seat {

namespace {

    // A holder that hears nothing keeps this many asks in memory for each guard.
    constexpr std::size_t maximumAsksInFlight = 16;

} // namespace

SeatLeaseClient::SeatLeaseClient(DaemonIdentity self, SeatLeaseGrantor& ledger, SeatLeaseOptions options)
    : m_self(std::move(self))
    , m_ledger(ledger)
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
    for (std::uint32_t number = 0; number < map.seats.size(); ++number)
        adoptSeatLocked(number, map.seats[number], now, messages);
    return messages;
}

auto SeatLeaseClient::adoptSeatLocked(
    std::uint32_t number, const SeatAssignment& assignment, MonotonicTime now, Messages& messages) -> void
{
    const auto rank = assignment.rankOf(m_self);
    Seat next { assignment, rank.value_or(0), rank == 0U && assignment.formerEpochs.empty() };
    if (const auto found = m_seats.find(number); found != m_seats.end()) {
        auto& existing = found->second;
        if (existing.assignment.epoch == assignment.epoch) {
            existing.assignment = assignment;
            noteLost(existing, now);
            return;
        }
        if (rank == 0U)
            carryOver(existing, next, now);
        if (!next.carriedEnd)
            stop(existing, number, messages);
        m_seats.erase(found);
    }
    if (!rank)
        return;
    if (rank == 0U)
        prepare(next, now);
    m_seats.emplace(number, std::move(next));
}

auto SeatLeaseClient::carryOver(Seat& from, Seat& to, MonotonicTime now) const -> void
{
    const auto end = from.phase == Phase::Leasing ? leaseEnd(from) : from.carriedEnd;
    if (from.phase == Phase::Stopped || !end || now >= *end || !from.tenure)
        return;
    to.carriedEnd = end;
    to.tenure = from.tenure;
    from.phase = Phase::Stopped;
}

auto SeatLeaseClient::noteLost(Seat& seat, MonotonicTime now) const -> void
{
    for (auto& round : seat.rounds) {
        for (const auto& former : seat.assignment.formerEpochs) {
            if (former.epoch != round.epoch)
                continue;
            for (const auto& guard : former.terminatedGrantors)
                round.clearAt.emplace(guard, now + m_options.leaseDuration + m_options.margin);
        }
    }
}

auto SeatLeaseClient::tick(MonotonicTime now) -> std::vector<SeatMessage>
{
    Messages messages;
    const MutexLock lock(m_mutex);
    for (auto& [number, seat] : m_seats)
        tickSeat(seat, number, now, messages);
    return messages;
}

auto SeatLeaseClient::handle(const LeaseResponse& renewal, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    const auto found = m_seats.find(renewal.seat);
    if (found == m_seats.end() || renewal.holder != m_self)
        return;
    auto& seat = found->second;
    if (seat.phase != Phase::Leasing || renewal.term != SeatTerm { seat.assignment.epoch, seat.rank })
        return;
    auto& view = seat.views[renewal.guard];
    const auto sent = view.sentAt.find(renewal.sequence);
    if (sent == view.sentAt.end())
        return;
    if (renewal.isGranted) {
        const auto end = sent->second + std::min(renewal.duration, m_options.leaseDuration) - m_options.margin;
        view.leaseEnd = std::max(view.leaseEnd.value_or(end), end);
        view.acknowledged = std::max(view.acknowledged, renewal.sequence);
    } else if (renewal.promisedRank > seat.rank) {
        view.isEnded = true;
    }
    view.sentAt.erase(view.sentAt.begin(), std::next(sent));
    const auto ended
        = std::count_if(seat.views.begin(), seat.views.end(), [](const auto& entry) { return entry.second.isEnded; });
    if (static_cast<std::size_t>(ended) >= majorityOf(seat.assignment.grantors.size()))
        seat.phase = Phase::Stopped;
    if (!seat.tenure && leaseEnd(seat))
        seat.tenure = SeatLease { renewal.term, now, *leaseEnd(seat), seat.isFirst };
}

auto SeatLeaseClient::handle(const PrepareResponse& promise, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    const auto found = m_seats.find(promise.seat);
    if (found == m_seats.end() || promise.successor != m_self || !promise.isGiven)
        return;
    for (auto& round : found->second.rounds) {
        if (round.epoch == promise.epoch && round.rank == promise.rank)
            round.clearAt.emplace(promise.guard, now + promise.remaining + m_options.margin);
    }
}

auto SeatLeaseClient::heldLease(std::uint32_t number, MonotonicTime now) const -> std::optional<SeatLease>
{
    const MutexLock lock(m_mutex);
    const auto found = m_seats.find(number);
    return found == m_seats.end() ? std::nullopt : tenureOf(found->second, now);
}

auto SeatLeaseClient::tenureOf(const Seat& seat, MonotonicTime now) const -> std::optional<SeatLease>
{
    auto end = seat.phase == Phase::Leasing ? leaseEnd(seat) : std::nullopt;
    if (seat.phase != Phase::Stopped && seat.carriedEnd)
        end = std::max(end.value_or(*seat.carriedEnd), *seat.carriedEnd);
    if (!end || now >= *end || !seat.tenure)
        return std::nullopt;
    return SeatLease { seat.tenure->term, seat.tenure->heldSince, *end, seat.tenure->isFirstLease };
}

auto SeatLeaseClient::releaseAll(MonotonicTime) -> std::vector<SeatMessage>
{
    Messages messages;
    const MutexLock lock(m_mutex);
    for (auto& [number, seat] : m_seats)
        stop(seat, number, messages);
    return messages;
}

auto SeatLeaseClient::heldSeats(MonotonicTime now) const -> std::vector<std::uint32_t>
{
    std::vector<std::uint32_t> held;
    const MutexLock lock(m_mutex);
    for (const auto& [number, seat] : m_seats) {
        if (tenureOf(seat, now))
            held.push_back(number);
    }
    return held;
}

auto SeatLeaseClient::leasedEpochs(MonotonicTime now) const -> std::map<std::uint32_t, std::uint64_t>
{
    std::map<std::uint32_t, std::uint64_t> started;
    const MutexLock lock(m_mutex);
    for (const auto& [number, seat] : m_seats) {
        const auto end = leaseEnd(seat);
        if (seat.phase == Phase::Leasing && end && now < *end)
            started.emplace(number, seat.assignment.epoch);
    }
    return started;
}

auto SeatLeaseClient::PromiseRound::isClear(MonotonicTime now, bool isOwn) const -> bool
{
    const auto clear = std::count_if(guards.begin(), guards.end(), [this, now, isOwn](const auto& guard) {
        const auto found = clearAt.find(guard);
        return found != clearAt.end() && (isOwn || now >= found->second);
    });
    return static_cast<std::size_t>(clear) >= majorityOf(guards.size());
}

auto SeatLeaseClient::prepare(Seat& seat, MonotonicTime now) const -> void
{
    seat.phase = Phase::Preparing;
    for (const auto& former : seat.assignment.formerEpochs) {
        PromiseRound round { former.epoch, closedRank, former.grantors, {} };
        for (const auto& guard : former.terminatedGrantors)
            round.clearAt.emplace(guard, now + m_options.leaseDuration + m_options.margin);
        seat.rounds.push_back(std::move(round));
    }
    if (seat.rank > 0)
        seat.rounds.push_back({ seat.assignment.epoch, seat.rank, seat.assignment.grantors, {} });
}

auto SeatLeaseClient::stop(Seat& seat, std::uint32_t number, Messages& messages) const -> void
{
    if (seat.phase == Phase::Leasing) {
        for (const auto& guard : seat.assignment.grantors)
            messages.emplace_back(LeaseRelease { m_self, guard, number, { seat.assignment.epoch, seat.rank } });
    }
    seat.phase = Phase::Stopped;
}

auto SeatLeaseClient::tickSeat(Seat& seat, std::uint32_t number, MonotonicTime now, Messages& messages) const -> void
{
    if (seat.phase == Phase::Waiting && shouldTakeOver(seat, number, now))
        prepare(seat, now);
    if (seat.phase == Phase::Preparing && isReady(seat, now))
        startLeasing(seat, now);
    const auto isActive = seat.phase == Phase::Preparing || seat.phase == Phase::Leasing;
    if (!isActive || (seat.nextSend && now < *seat.nextSend))
        return;
    if (seat.phase == Phase::Preparing)
        askPromises(seat, number, messages);
    else
        askLeases(seat, number, now, messages);
    seat.nextSend = now + (leaseEnd(seat) ? m_options.renewInterval : m_options.retryInterval);
}

auto SeatLeaseClient::isReady(const Seat& seat, MonotonicTime now) const -> bool
{
    // While this daemon's own leases of the last epoch run, no other can hold the seat: the promises alone suffice.
    const auto isOwn = seat.carriedEnd && now < *seat.carriedEnd;
    return std::all_of(
        seat.rounds.begin(), seat.rounds.end(), [now, isOwn](const auto& round) { return round.isClear(now, isOwn); });
}

auto SeatLeaseClient::startLeasing(Seat& seat, MonotonicTime now) const -> void
{
    if (!seat.carriedEnd || now >= *seat.carriedEnd)
        seat.tenure.reset(); // another may have held the seat in between
    seat.phase = Phase::Leasing;
    seat.nextSend.reset();
}

auto SeatLeaseClient::shouldTakeOver(const Seat& seat, std::uint32_t number, MonotonicTime now) const -> bool
{
    const auto idle = m_ledger.unleasedSince(number, seat.assignment.epoch, now);
    // Before the first lease the holder has the time to start; a later rank waits for the earlier ones to try.
    const auto grace = m_options.leaseDuration / 2 + m_options.successionDelay * (seat.rank - 1);
    return idle && now >= *idle + grace;
}

auto SeatLeaseClient::askPromises(const Seat& seat, std::uint32_t number, Messages& messages) const -> void
{
    for (const auto& round : seat.rounds) {
        for (const auto& guard : round.guards) {
            if (!round.clearAt.contains(guard))
                messages.emplace_back(PrepareRequest { m_self, guard, number, round.epoch, round.rank });
        }
    }
}

auto SeatLeaseClient::askLeases(Seat& seat, std::uint32_t number, MonotonicTime now, Messages& messages) const -> void
{
    for (const auto& guard : seat.assignment.grantors) {
        auto& view = seat.views[guard];
        const auto sequence = ++seat.lastSequence;
        view.sentAt.emplace(sequence, now);
        if (view.sentAt.size() > maximumAsksInFlight)
            view.sentAt.erase(view.sentAt.begin());
        messages.emplace_back(
            LeaseRequest { m_self, guard, number, { seat.assignment.epoch, seat.rank }, sequence, view.acknowledged });
    }
}

auto SeatLeaseClient::leaseEnd(const Seat& seat) const -> std::optional<MonotonicTime>
{
    std::vector<MonotonicTime> ends;
    for (const auto& [guard, view] : seat.views) {
        if (view.leaseEnd)
            ends.push_back(*view.leaseEnd);
    }
    const auto needed = majorityOf(seat.assignment.grantors.size());
    if (ends.size() < needed)
        return std::nullopt;
    std::sort(ends.begin(), ends.end(), std::greater<> {});
    return ends[needed - 1];
}

} // namespace coriandergate::seat
