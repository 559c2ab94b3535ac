// The holder's and the successor's side of the leases of seats: may this daemon act for a seat now?
//
//   SeatLeaseClient authority(self, ledger, options);
//   authority.adopt(map, now);
//   for (const auto& message : authority.tick(now)) send(message); // every 50 ms or so
//   authority.handle(renewal, now);
//   if (const auto tenure = authority.heldLease(seat, now)) issueTokens(seat, *tenure);
//
// A holder acts only while a majority of the seat's guards lease it the seat. It counts a lease from the moment it sent
// the ask, the guard from the moment it answered, and every use asks again with the present time, so that a process
// that was paused finds its tenure ended. A successor starts after a majority of the guards has promised to lease to
// no earlier rank and their last leases have run out; a new epoch's holder after the same for all earlier epochs. A
// daemon that stays the holder when its guards change goes on without a gap. None of this needs the store.
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

// SeatLeaseClient is safe from any thread. A daemon has few seats and asks for a tenure once a batch of messages, so
// that one lock suffices. `ledger`, this daemon's own, must outlive it.
class SeatLeaseClient {
public:
    SeatLeaseClient(DaemonIdentity self, SeatLeaseGrantor& ledger, SeatLeaseOptions options);

    // adopt() takes up the seats that `map` gives this daemon, and stops at once holding those it no longer does. The
    // messages tell the guards of what it stopped. Maps that are not newer than the last one are ignored.
    [[nodiscard]] auto adopt(const SeatMap& map, MonotonicTime now) -> std::vector<SeatMessage>;

    // tick() returns the messages that are due: asks for leases, and for promises.
    [[nodiscard]] auto tick(MonotonicTime now) -> std::vector<SeatMessage>;

    // handle() takes a guard's answer. Answers that are late, repeated or meant for another are ignored.
    auto handle(const LeaseResponse& renewal, MonotonicTime now) -> void;

    // handle() takes a guard's promise, likewise.
    auto handle(const PrepareResponse& promise, MonotonicTime now) -> void;

    // heldLease() is the hold of `seat` at `now`, or nothing. What is decided under it must be decided with the same
    // `now`.
    [[nodiscard]] auto heldLease(std::uint32_t seat, MonotonicTime now) const -> std::optional<SeatLease>;

    // releaseAll() stops holding every seat, for a graceful shutdown; the messages tell the guards.
    [[nodiscard]] auto releaseAll(MonotonicTime now) -> std::vector<SeatMessage>;

    // heldSeats() are the seats held at `now`.
    [[nodiscard]] auto heldSeats(MonotonicTime now) const -> std::vector<std::uint32_t>;

    // leasedEpochs() are the seats whose present assignment's guards lease them to this daemon, with its epoch: all
    // earlier epochs of these are closed.
    [[nodiscard]] auto leasedEpochs(MonotonicTime now) const -> std::map<std::uint32_t, std::uint64_t>;

private:
    // What one guard has said in an epoch.
    struct GuardView {
        std::map<std::uint64_t, MonotonicTime> sentAt; // of unanswered asks, by sequence
        std::uint64_t acknowledged = 0;
        std::optional<MonotonicTime> leaseEnd;
        bool isEnded = false; // it has promised to lease to a later rank only
    };

    // A group of guards whose majority must promise.
    struct PromiseRound {
        std::uint64_t epoch = 0;
        std::uint32_t rank = 0;
        std::vector<DaemonIdentity> guards;
        std::map<DaemonIdentity, MonotonicTime> clearAt;

        // isClear() is whether a majority has promised and, unless `isOwn` (this daemon holds the seat itself), the
        // leases before have run out.
        [[nodiscard]] auto isClear(MonotonicTime now, bool isOwn) const -> bool;
    };

    enum class Phase {
        Waiting, // a successor, while an earlier rank lives
        Preparing, // gathering promises
        Leasing, // renewing leases
        Stopped, // for the rest of the epoch
    };

    struct Seat {
        SeatAssignment assignment;
        std::uint32_t rank = 0;
        bool isFirst = false; // there was no holder before; a map forgets earlier epochs only once a later one started
        Phase phase = Phase::Waiting;
        std::vector<PromiseRound> rounds {};
        std::map<DaemonIdentity, GuardView> views {};
        std::uint64_t lastSequence = 0;
        std::optional<MonotonicTime> nextSend {};
        std::optional<MonotonicTime> carriedEnd {}; // of this daemon's own leases in the last epoch
        std::optional<SeatLease> tenure {}; // the last one begun
    };

    using Messages = std::vector<SeatMessage>;

    REQUIRES(m_mutex)
    auto adoptSeatLocked(std::uint32_t number, const SeatAssignment& assignment, MonotonicTime now, Messages& messages)
        -> void;
    auto carryOver(Seat& from, Seat& to, MonotonicTime now) const -> void;
    auto noteLost(Seat& seat, MonotonicTime now) const -> void;
    auto prepare(Seat& seat, MonotonicTime now) const -> void;
    [[nodiscard]] auto isReady(const Seat& seat, MonotonicTime now) const -> bool;
    auto startLeasing(Seat& seat, MonotonicTime now) const -> void;
    auto stop(Seat& seat, std::uint32_t number, Messages& messages) const -> void;
    auto tickSeat(Seat& seat, std::uint32_t number, MonotonicTime now, Messages& messages) const -> void;
    [[nodiscard]] auto shouldTakeOver(const Seat& seat, std::uint32_t number, MonotonicTime now) const -> bool;
    auto askPromises(const Seat& seat, std::uint32_t number, Messages& messages) const -> void;
    auto askLeases(Seat& seat, std::uint32_t number, MonotonicTime now, Messages& messages) const -> void;
    [[nodiscard]] auto leaseEnd(const Seat& seat) const -> std::optional<MonotonicTime>;
    [[nodiscard]] auto tenureOf(const Seat& seat, MonotonicTime now) const -> std::optional<SeatLease>;

    const DaemonIdentity m_self;
    SeatLeaseGrantor& m_ledger;
    const SeatLeaseOptions m_options;
    mutable Mutex m_mutex;
    std::uint64_t m_epoch GUARDED_BY(m_mutex) = 0;
    std::map<std::uint32_t, Seat> m_seats GUARDED_BY(m_mutex);
};

} // namespace coriandergate::seat
