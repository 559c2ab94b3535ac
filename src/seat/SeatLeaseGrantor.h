// The guard's side of the leases of seats.
//
// A guard leases a seat to one rank of one epoch at a time, and remembers what it has promised. It keeps this in memory
// only: a restarted daemon has a new incarnation, which is no guard of any epoch that it could have forgotten.
//
//   SeatLeaseGrantor ledger(self, options);
//   ledger.adopt(map, now);
//   send(ledger.handle(ask, now));
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

    // adopt() takes up the duties that `map` gives this daemon, and drops those of epochs that the map has forgotten.
    // Maps that are not newer than the last one are ignored.
    auto adopt(const SeatMap& map, MonotonicTime now) -> void;

    // handle() grants or refuses a lease.
    [[nodiscard]] auto handle(const LeaseRequest& ask, MonotonicTime now) -> LeaseResponse;

    // handle() gives or refuses a promise. A takeover is refused while this guard's lease to an earlier rank runs and
    // that holder hears its answers; the closing of an epoch is never refused.
    [[nodiscard]] auto handle(const PrepareRequest& ask, MonotonicTime now) -> PrepareResponse;

    // release() ends the lease of a holder that has stopped.
    auto release(const LeaseRelease& message, MonotonicTime now) -> void;

    // unleasedSince() is the time since which `seat` has had no live lease of this guard in `epoch`; nothing while one
    // runs or when this daemon is no guard of it.
    [[nodiscard]] auto unleasedSince(std::uint32_t seat, std::uint64_t epoch, MonotonicTime now) const
        -> std::optional<MonotonicTime>;

private:
    struct Record {
        std::vector<DaemonIdentity> candidates; // by rank; empty for an epoch whose map never came here
        std::uint32_t promisedRank = 0;
        std::uint64_t acknowledged = 0;
        std::uint64_t lastSequence = 0;
        std::uint32_t leasedRank = 0;
        MonotonicTime leaseEnd; // of the last lease; the time of adoption before the first one
        MonotonicTime acknowledgedAt;
    };
    using Key = std::pair<std::uint32_t, std::uint64_t>; // seat, epoch

    [[nodiscard]] auto isLive(const Record& record, MonotonicTime now) const -> bool;
    [[nodiscard]] auto isCandidate(const Record& record, const LeaseRequest& ask) const -> bool;
    auto lease(Record& record, const LeaseRequest& ask, MonotonicTime now) const -> void;

    const DaemonIdentity m_self;
    const SeatLeaseOptions m_options;
    mutable Mutex m_mutex;
    std::uint64_t m_epoch GUARDED_BY(m_mutex) = 0;
    std::map<Key, Record> m_records GUARDED_BY(m_mutex);
};

} // namespace coriandergate::seat
