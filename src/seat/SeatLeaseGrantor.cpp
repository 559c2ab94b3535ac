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
    std::set<Key> known;
    for (std::uint32_t seat = 0; seat < map.seats.size(); ++seat) {
        const auto& assignment = map.seats[seat];
        known.emplace(seat, assignment.epoch);
        for (const auto& former : assignment.formerEpochs)
            known.emplace(seat, former.epoch);
        if (std::find(assignment.grantors.begin(), assignment.grantors.end(), m_self) == assignment.grantors.end())
            continue;
        auto& record = m_records[{ seat, assignment.epoch }];
        if (!record.candidates.empty())
            continue;
        record.candidates.push_back(assignment.holder);
        record.candidates.insert(record.candidates.end(), assignment.grantors.begin(), assignment.grantors.end());
        record.leaseEnd = now;
        record.acknowledgedAt = now;
    }
    std::erase_if(m_records, [&known](const auto& entry) { return !known.contains(entry.first); });
}

auto SeatLeaseGrantor::handle(const LeaseRequest& ask, MonotonicTime now) -> LeaseResponse
{
    LeaseResponse renewal { ask.holder, m_self, ask.seat, ask.term, ask.sequence, false, m_options.leaseDuration, 0 };
    const MutexLock lock(m_mutex);
    const auto found = m_records.find({ ask.seat, ask.term.epoch });
    if (ask.guard != m_self || found == m_records.end())
        return renewal;
    auto& record = found->second;
    if (isCandidate(record, ask) && ask.term.rank >= record.promisedRank) {
        lease(record, ask, now);
        renewal.isGranted = true;
    }
    renewal.promisedRank = record.promisedRank;
    return renewal;
}

auto SeatLeaseGrantor::handle(const PrepareRequest& ask, MonotonicTime now) -> PrepareResponse
{
    PrepareResponse promise { ask.successor, m_self, ask.seat, ask.epoch, ask.rank, false, {} };
    const MutexLock lock(m_mutex);
    const auto isClosing = ask.rank == closedRank;
    if (ask.guard != m_self || (!isClosing && !m_records.contains({ ask.seat, ask.epoch })))
        return promise;
    auto& record = m_records[{ ask.seat, ask.epoch }];
    const auto hasEarlierLease = record.leasedRank < ask.rank && isLive(record, now);
    if (ask.rank < record.promisedRank || (!isClosing && hasEarlierLease))
        return promise;
    record.promisedRank = ask.rank;
    promise.isGiven = true;
    if (record.leaseEnd > now)
        promise.remaining = std::chrono::ceil<std::chrono::milliseconds>(record.leaseEnd - now);
    return promise;
}

auto SeatLeaseGrantor::release(const LeaseRelease& message, MonotonicTime now) -> void
{
    const MutexLock lock(m_mutex);
    const auto found = m_records.find({ message.seat, message.term.epoch });
    if (message.guard != m_self || found == m_records.end())
        return;
    auto& record = found->second;
    const auto isLeased = message.term.rank == record.leasedRank && record.leaseEnd > now;
    if (!isLeased || record.candidates.size() <= record.leasedRank
        || record.candidates[record.leasedRank] != message.holder)
        return;
    // The holder has stopped for good: a renewal ask that was overtaken by this message must not lease to it again.
    record.promisedRank = std::max(record.promisedRank, message.term.rank + 1);
    record.leaseEnd = now;
}

auto SeatLeaseGrantor::unleasedSince(std::uint32_t seat, std::uint64_t epoch, MonotonicTime now) const
    -> std::optional<MonotonicTime>
{
    const MutexLock lock(m_mutex);
    const auto found = m_records.find({ seat, epoch });
    if (found == m_records.end() || found->second.candidates.empty() || isLive(found->second, now))
        return std::nullopt;
    return std::min(found->second.leaseEnd, found->second.acknowledgedAt + m_options.leaseDuration);
}

auto SeatLeaseGrantor::isLive(const Record& record, MonotonicTime now) const -> bool
{
    return now < record.leaseEnd && now < record.acknowledgedAt + m_options.leaseDuration;
}

auto SeatLeaseGrantor::isCandidate(const Record& record, const LeaseRequest& ask) const -> bool
{
    return ask.term.rank < record.candidates.size() && record.candidates[ask.term.rank] == ask.holder;
}

auto SeatLeaseGrantor::lease(Record& record, const LeaseRequest& ask, MonotonicTime now) const -> void
{
    const auto isNewRank = record.lastSequence == 0 || ask.term.rank != record.leasedRank;
    if (isNewRank || ask.acknowledged > record.acknowledged) {
        record.acknowledged = ask.acknowledged;
        record.acknowledgedAt = now;
    }
    record.promisedRank = ask.term.rank;
    record.leasedRank = ask.term.rank;
    record.lastSequence = std::max<std::uint64_t>(ask.sequence, 1);
    record.leaseEnd = std::max(record.leaseEnd, now + m_options.leaseDuration);
}

} // namespace coriandergate::seat
