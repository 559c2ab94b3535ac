// Decides, at the holder of a seat, which once-only request may run.
//
// A key is absent, running, ran, or of unknown outcome. An absent key is granted to the first attempt that asks; every
// other attempt learns what became of it. All of it is in memory: after a change of holder the new one asks the fleet
// (SeatRebuild.h) and grants nothing until it knows.
//
//   IdempotencyTable ledger({});
//   ledger.openSeat(tenure, members, lost, now);        // once for each epoch
//   ledger.addReport(seat, epoch, report, now);         // of each member
//   auto answer = ledger.begin(request, tenure, now);   // variant: Permit, InProgress, AlreadyRan, ...
//   ledger.finish(key, attempt, Ran { 201, answer }, now);
//
// Thread safe: seats are spread over shards, each under its own lock.
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

// IdempotencyTable holds the keys of the seats that this daemon holds or has held.
class IdempotencyTable {
public:
    struct Options {
        unsigned seatCount = 4096; // the same on every daemon
        SeatRebuild::Options rebuild; // with the retention
        MonotonicDuration permitLifetime = std::chrono::seconds(6);
        std::size_t maximumKeys = 200'000;
        std::size_t maximumResponseBytes = 2048; // of one kept answer
        std::size_t maximumTotalResponseBytes = 8 << 20;
    };

    explicit IdempotencyTable(Options options);
    ~IdempotencyTable();
    IdempotencyTable(const IdempotencyTable&) = delete;
    auto operator=(const IdempotencyTable&) -> IdempotencyTable& = delete;

    // openSeat() begins the rebuild for a new epoch; a second call for the same epoch does nothing. When this daemon's
    // last known tenure was still good as the new one began, nobody can have held the seat in between: the ledger is
    // whole and goes on without a rebuild.
    auto openSeat(const SeatLease& tenure, std::vector<SeatRebuild::Member> members, std::vector<LostDaemon> lost,
        MonotonicTime now) -> void;

    // renewLease() notes how long this daemon holds the seat, for the next openSeat(); call it whenever a tenure is
    // seen.
    auto renewLease(const SeatLease& tenure) -> void;

    // addReport() takes in what a daemon remembers of the seat. Late, repeated and reordered reports do no harm.
    auto addReport(unsigned seat, std::uint64_t epoch, const RebuildReport& report, MonotonicTime now) -> void;

    // missingReports() are the members still to be asked; empty when the seat isn't open here.
    [[nodiscard]] auto missingReports(unsigned seat) const -> std::vector<DaemonIdentity>;

    // begin() decides whether an attempt may run. `tenure` is what this daemon holds of the key's seat at `now`; empty
    // when it doesn't hold it. A permit never outlives the tenure.
    [[nodiscard]] auto requestPermit(
        const PermitRequest& request, const std::optional<SeatLease>& tenure, MonotonicTime now) -> PermitResponse;

    // finish() takes in the outcome of an attempt, as its owner tells it: after NotRun the key is absent again, unless
    // another attempt has it by now. Repeated and late calls do no harm.
    auto recordOutcome(
        const IdempotencyKey& key, const AttemptId& attempt, const AttemptOutcome& outcome, MonotonicTime now) -> void;

    // markDaemonLost() turns what runs at a lost daemon into an unknown outcome, and waits no longer for its reports.
    // O(keys).
    auto markDaemonLost(const LostDaemon& lost) -> void;

    // recordsOf() is this daemon's own part in a RebuildReport.
    [[nodiscard]] auto recordsOf(unsigned seat, MonotonicTime now) const -> std::vector<AttemptRecord>;

    // keyCount() is the number of keys remembered.
    [[nodiscard]] auto keyCount() const -> std::size_t { return m_keys.load(std::memory_order_relaxed); }

    [[nodiscard]] auto seatCount() const -> unsigned { return m_options.seatCount; }

private:
    static constexpr std::size_t s_shardCount = 64;
    struct Shard;

    [[nodiscard]] auto shardOf(unsigned seat) const -> Shard&;

    Options m_options;
    std::atomic<std::size_t> m_keys { 0 };
    std::atomic<std::size_t> m_answerBytes { 0 };
    std::array<std::unique_ptr<Shard>, s_shardCount> m_shards;
};

} // namespace coriandergate::once
