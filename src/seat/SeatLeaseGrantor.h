// Grants leases of seats: the grantor's side of the seat lease protocol.
//
// In each epoch, a grantor leases a seat to one rank at a time and keeps its promises to grant nothing to lower ranks.
// This state is in memory only: a restarted daemon has a new incarnation, which is not a grantor in any epoch whose
// state it could have lost.
//
//   SeatLeaseGrantor grantor(self, options);
//   grantor.adopt(map, now);
//   send(grantor.handle(request, now));
//
// Leases: Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for distributed file cache consistency",
// 1989. Ranks and promises follow the ballots of Lamport's "Paxos made simple", 2001, without any replicated state.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Mutex.h"
#include "seat/LeaseRelease.h"
#include "seat/LeaseRequest.h"
#include "seat/LeaseResponse.h"
#include "seat/PrepareRequest.h"
#include "seat/PrepareResponse.h"
#include "seat/SeatLeaseOptions.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace coriandergate::seat {

struct SeatMap;

// SeatLeaseGrantor is safe from any thread.
class SeatLeaseGrantor {
public:
    SeatLeaseGrantor(DaemonIdentity self, SeatLeaseOptions options);

    // adopt() becomes a grantor of the seats for which `map` names this daemon, and drops the state of epochs that are
    // no longer in the map. Ignores maps that are not newer than the last one.
    auto adopt(const SeatMap& map, MonotonicTime now) -> void;

    // handle() grants or refuses a lease.
    [[nodiscard]] auto handle(const LeaseRequest& request, MonotonicTime now) -> LeaseResponse;

    // handle() makes or refuses a promise. A takeover is refused while this grantor's lease to a lower rank is valid
    // and that holder acknowledges its responses. A request to close the epoch is never refused.
    [[nodiscard]] auto handle(const PrepareRequest& request, MonotonicTime now) -> PrepareResponse;

    // release() ends the lease of a holder that has stopped.
    auto release(const LeaseRelease& message, MonotonicTime now) -> void;

    // unleasedSince() is the time since which this grantor has no live lease of `seat` in `epoch`, or nothing while it
    // has one or when this daemon is not a grantor of the seat.
    [[nodiscard]] auto unleasedSince(std::uint32_t seat, std::uint64_t epoch, MonotonicTime now) const
        -> std::optional<MonotonicTime>;

private:
    // The state of one seat in one epoch.
    struct SeatEpochState {
        std::vector<DaemonIdentity> candidates; // by rank; empty for an epoch whose map never arrived here
        std::uint32_t promisedRank = 0;
        std::uint64_t acknowledgedSequence = 0;
        std::uint64_t lastSequence = 0; // of the last request granted; 0 before the first
        std::uint32_t leasedRank = 0;
        MonotonicTime leaseExpiry; // of the last lease; the time of adoption before the first
        MonotonicTime acknowledgedAt; // when the holder's acknowledged sequence last grew, or its lease began
    };
    using SeatEpoch = std::pair<std::uint32_t, std::uint64_t>; // seat, epoch

    // hasLiveLease() tells whether the last lease is valid and its holder acknowledges the responses.
    [[nodiscard]] auto hasLiveLease(const SeatEpochState& state, MonotonicTime now) const -> bool;
    [[nodiscard]] auto isCandidate(const SeatEpochState& state, const LeaseRequest& request) const -> bool;
    auto grant(SeatEpochState& state, const LeaseRequest& request, MonotonicTime now) const -> void;

    const DaemonIdentity m_self;
    const SeatLeaseOptions m_options;
    mutable Mutex m_mutex;
    std::uint64_t m_epoch GUARDED_BY(m_mutex) = 0; // of the last map adopted
    std::map<SeatEpoch, SeatEpochState> m_states GUARDED_BY(m_mutex);
};

} // namespace coriandergate::seat
