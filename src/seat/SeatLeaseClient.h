// Acquires and renews the leases of the seats that this daemon holds, and takes over seats whose holder has failed: the
// holder's and the successor's side of the seat lease protocol.
//
//   SeatLeaseClient client(self, grantor, options);
//   client.adopt(map, now);
//   for (const auto& message : client.tick(now)) send(message); // about every 50 ms
//   client.handle(response, now);
//   if (const auto lease = client.heldLease(seat, now)) issueTokens(seat, *lease);
//
// A daemon holds a seat only while it has valid leases from a majority of the seat's grantors. It counts a lease from
// when it sent the request, the grantor from when it handled the request, so that the lease expires here first.
// heldLease() checks the expiry at every call, so that a process that was paused finds its leases expired.
//
// A successor requests leases only after a majority of the grantors has promised to grant none to lower ranks and their
// last leases have expired. The holder of a new epoch does so only after it has closed all former epochs: in each, a
// majority of the grantors has promised to grant no lease at all and their last leases have expired. A daemon that
// stays the holder when the seat's grantors change keeps its lease without a gap. None of this needs the store.
#pragma once

#include "base/Clock.h"
#include "base/DaemonIdentity.h"
#include "base/Mutex.h"
#include "seat/SeatAssignment.h"
#include "seat/SeatLease.h"
#include "seat/SeatLeaseOptions.h"
#include "seat/SeatMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace coriandergate::seat {

class SeatLeaseGrantor;
struct SeatMap;

// SeatLeaseClient is safe from any thread. One lock suffices, since a daemon has few seats and looks up a lease once
// per batch of messages. `grantor` is this daemon's own and must outlive the client.
class SeatLeaseClient {
public:
    SeatLeaseClient(DaemonIdentity self, SeatLeaseGrantor& grantor, SeatLeaseOptions options);

    // adopt() starts to acquire the seats that `map` assigns to this daemon, and at once stops holding those that it no
    // longer assigns to it. Returns the messages that release the latter. Ignores maps that are not newer than the last
    // one.
    [[nodiscard]] auto adopt(const SeatMap& map, MonotonicTime now) -> std::vector<SeatMessage>;

    // tick() returns the lease requests and prepare requests that are due.
    [[nodiscard]] auto tick(MonotonicTime now) -> std::vector<SeatMessage>;

    // handle() processes a grantor's response to a lease request. Ignores responses that are late, duplicated or for
    // another daemon.
    auto handle(const LeaseResponse& response, MonotonicTime now) -> void;

    // handle() processes a grantor's response to a prepare request. Ignores the same kinds of responses.
    auto handle(const PrepareResponse& response, MonotonicTime now) -> void;

    // heldLease() is the lease of seat `seatIndex` that is valid at `now`, or nothing. Decisions that rely on it must
    // use the same `now`.
    [[nodiscard]] auto heldLease(std::uint32_t seatIndex, MonotonicTime now) const -> std::optional<SeatLease>;

    // releaseAll() stops holding all seats, for a graceful shutdown. Returns the messages that tell the grantors.
    [[nodiscard]] auto releaseAll(MonotonicTime now) -> std::vector<SeatMessage>;

    // heldSeats() are the seats held at `now`.
    [[nodiscard]] auto heldSeats(MonotonicTime now) const -> std::vector<std::uint32_t>;

    // leasedEpochs() are the seats that the grantors of their current assignment lease to this daemon, each with the
    // epoch of that assignment. All former epochs of these seats are closed.
    [[nodiscard]] auto leasedEpochs(MonotonicTime now) const -> std::map<std::uint32_t, std::uint64_t>;

private:
    // What this daemon knows of its leases from one grantor in the current epoch.
    struct GrantorState {
        std::map<std::uint64_t, MonotonicTime> requestSentAt; // of outstanding requests, by sequence
        std::uint64_t acknowledgedSequence = 0; // the highest that the grantor has granted
        std::optional<MonotonicTime> leaseExpiry;
        bool hasPromisedHigherRank = false;
    };

    // One epoch, a majority of whose grantors must promise to grant no more leases to ranks below `rank`.
    struct PrepareRound {
        std::uint64_t epoch = 0;
        std::uint32_t rank = 0;
        std::vector<DaemonIdentity> grantors;
        // When the last lease of each grantor has expired; only of those that have promised or whose process has ended.
        std::map<DaemonIdentity, MonotonicTime> earlierLeaseExpiry;

        // isComplete() tells whether a majority has promised and its earlier leases have expired. The expiry doesn't
        // matter while this daemon holds the seat itself (`isHeldBySelf`).
        [[nodiscard]] auto isComplete(MonotonicTime now, bool isHeldBySelf) const -> bool;
    };

    enum class Phase {
        Waiting, // a successor that need not take over yet
        Preparing, // collecting promises
        Leasing, // acquiring and renewing leases
        Stopped, // for the rest of the epoch
    };

    struct SeatState {
        SeatAssignment assignment;
        std::uint32_t rank = 0;
        // True for the holder of an assignment without former epochs. Then no daemon held the seat earlier, because a
        // map drops a former epoch only after a later one has been leased.
        bool isFirstLease = false;
        Phase phase = Phase::Waiting;
        std::vector<PrepareRound> prepareRounds {};
        std::map<DaemonIdentity, GrantorState> grantorStates {};
        std::uint64_t lastSequence = 0;
        std::optional<MonotonicTime> nextRequestAt {};
        std::optional<MonotonicTime> previousEpochExpiry {}; // of this daemon's own leases in the previous epoch
        std::optional<SeatLease> lease {}; // the last one acquired; leaseOf() computes the current validUntil
    };

    using Messages = std::vector<SeatMessage>;

    REQUIRES(m_mutex)
    auto adoptSeatLocked(
        std::uint32_t seatIndex, const SeatAssignment& assignment, MonotonicTime now, Messages& messages) -> void;
    // carryOverLease() moves a valid lease from `from`, the seat in its previous epoch, to `to`, in its new one.
    auto carryOverLease(SeatState& from, SeatState& to, MonotonicTime now) const -> void;
    // recordTerminatedGrantors() lets grantors that the assignment now reports as terminated count like promises.
    auto recordTerminatedGrantors(SeatState& seat, MonotonicTime now) const -> void;
    auto startPreparing(SeatState& seat, MonotonicTime now) const -> void;
    [[nodiscard]] auto isPrepared(const SeatState& seat, MonotonicTime now) const -> bool;
    auto startLeasing(SeatState& seat, MonotonicTime now) const -> void;
    auto stop(SeatState& seat, std::uint32_t seatIndex, Messages& messages) const -> void;
    auto tickSeat(SeatState& seat, std::uint32_t seatIndex, MonotonicTime now, Messages& messages) const -> void;
    [[nodiscard]] auto shouldTakeOver(const SeatState& seat, std::uint32_t seatIndex, MonotonicTime now) const -> bool;
    auto appendPrepareRequests(const SeatState& seat, std::uint32_t seatIndex, Messages& messages) const -> void;
    auto appendLeaseRequests(SeatState& seat, std::uint32_t seatIndex, MonotonicTime now, Messages& messages) const
        -> void;
    // majorityLeaseExpiry() is until when a majority of the current epoch's grantors lease the seat to this daemon.
    [[nodiscard]] auto majorityLeaseExpiry(const SeatState& seat) const -> std::optional<MonotonicTime>;
    [[nodiscard]] auto leaseOf(const SeatState& seat, MonotonicTime now) const -> std::optional<SeatLease>;

    const DaemonIdentity m_self;
    SeatLeaseGrantor& m_grantor;
    const SeatLeaseOptions m_options;
    mutable Mutex m_mutex;
    std::uint64_t m_epoch GUARDED_BY(m_mutex) = 0; // of the last map adopted
    std::map<std::uint32_t, SeatState> m_seats GUARDED_BY(m_mutex);
};

} // namespace coriandergate::seat
