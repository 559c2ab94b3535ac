// Decides, at the holder of a seat, which at-most-once requests may run.
//
// An at-most-once (or once-only) request carries an Idempotency-Key and must not run twice. A seat is a partition of
// the keys; its holder is the daemon that has the lease on it.
//
// A key has no record, or its request is running, has run, or has an unknown outcome. The first attempt at a key
// without a record is granted a permit; every other attempt is told the state of the first. All state is in memory:
// after a change of holder, the new holder collects the fleet's records (SeatRebuild.h) and grants no permit before.
//
//   IdempotencyTable table({});
//   table.openSeat(lease, members, lost, now);                // once for each epoch
//   table.addReport(seat, epoch, report, now);                // of each member
//   auto response = table.requestPermit(request, lease, now); // variant: Permit, InProgress, AlreadyRan, ...
//   table.recordOutcome(key, attempt, Ran { 201, storedResponse }, now);
//
// Thread safe: seats are distributed over shards, each with its own lock.
#pragma once

#include "base/Mutex.h"
#include "once/AttemptRecord.h"
#include "once/PermitRequest.h"
#include "once/PermitResponse.h"
#include "once/SeatRebuild.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace coriandergate::once {

namespace internal {
    class SeatTable;
}

// IdempotencyTable stores the keys of the seats that this daemon holds or has held.
class IdempotencyTable {
public:
    struct Options {
        unsigned seatCount = 4096; // of the seat map; the same on every daemon
        SeatRebuild::Options rebuild; // including the retention
        MonotonicDuration permitLifetime = std::chrono::seconds(6);
        std::size_t maximumKeys = 200'000;
        std::size_t maximumResponseBytes = 2048; // of one stored response
        std::size_t maximumTotalResponseBytes = 8 << 20; // of all stored responses
    };

    explicit IdempotencyTable(Options options);
    ~IdempotencyTable();
    IdempotencyTable(const IdempotencyTable&) = delete;
    auto operator=(const IdempotencyTable&) -> IdempotencyTable& = delete;

    // openSeat() starts the rebuild for a new epoch; a call for the same or an earlier epoch starts none. If this
    // daemon's last known lease was still valid when the new one began, no other daemon can have held the seat in
    // between: the records are complete and no rebuild is needed.
    auto openSeat(const SeatLease& lease, std::vector<SeatRebuild::Member> members, std::vector<LostDaemon> lost,
        MonotonicTime now) -> void;

    // renewLease() records how long this daemon holds the seat, for the next openSeat(). Call it with every lease that
    // is seen.
    auto renewLease(const SeatLease& lease) -> void;

    // addReport() adds a daemon's records of the seat. Reports may be late, repeated or out of order; those of another
    // epoch are ignored.
    auto addReport(unsigned seat, std::uint64_t epoch, const RebuildReport& report, MonotonicTime now) -> void;

    // missingReports() returns the members that haven't reported; empty if the seat isn't open here.
    [[nodiscard]] auto missingReports(unsigned seat) const -> std::vector<DaemonIdentity>;

    // requestPermit() decides whether an attempt may run. `lease` is this daemon's lease on the key's seat at `now`;
    // empty if it has none. A permit never outlives the lease.
    [[nodiscard]] auto requestPermit(
        const PermitRequest& request, const std::optional<SeatLease>& lease, MonotonicTime now) -> PermitResponse;

    // recordOutcome() records the outcome of an attempt as its owner reports it. NotRun removes the key's record unless
    // it belongs to another attempt by now or is Ran. Calls may be repeated or late.
    auto recordOutcome(
        const IdempotencyKey& key, const AttemptId& attempt, const AttemptOutcome& outcome, MonotonicTime now) -> void;

    // markDaemonLost() sets the outcome of running attempts of a lost daemon to Unknown and stops waiting for its
    // reports. O(keys).
    auto markDaemonLost(const LostDaemon& lost) -> void;

    // recordsOf() returns the records that this daemon contributes to a RebuildReport as holder.
    [[nodiscard]] auto recordsOf(unsigned seat, MonotonicTime now) const -> std::vector<AttemptRecord>;

    // keyCount() returns the number of keys stored.
    [[nodiscard]] auto keyCount() const -> std::size_t { return m_keyCount.load(std::memory_order_relaxed); }

    [[nodiscard]] auto seatCount() const -> unsigned { return m_options.seatCount; }

private:
    static constexpr std::size_t s_shardCount = 64;
    struct Shard;

    [[nodiscard]] auto shardOf(unsigned seat) const -> Shard&;

    Options m_options;
    std::atomic<std::size_t> m_keyCount { 0 };
    std::atomic<std::size_t> m_responseBytes { 0 };
    std::array<std::unique_ptr<Shard>, s_shardCount> m_shards;
};

} // namespace coriandergate::once
