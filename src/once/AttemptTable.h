// The attempts to run at-most-once requests that a daemon owns, because their target is on its host.
//
// The owner itself requests the permit from the holder of the key's seat, and counts the permit's lifetime from the
// time at which it sent the request. So the clocks of two hosts are never compared, and a permit that was delayed in
// transit isn't used late:
//
//   if (!attempts.open(attempt, key, fingerprint, now)) refuse();     // a duplicate, or no room
//   const auto requestedAt = now;
//   ... request the permit, let the request wait for a slot ...
//   attempts.applyPermit(attempt, permit, requestedAt);
//   if (attempts.tryStart(attempt, later)) send(request);             // the last step before the target
//   attempts.close(attempt, Ran { 201, response });
//   for (auto& record : attempts.unreported()) report(holder, record); // until acknowledged
//
// An attempt starts at most once, and never after it was closed as NotRun. Thread safe: attempts are distributed over
// shards, each with its own lock.
#pragma once

#include "base/Mutex.h"
#include "once/AttemptRecord.h"
#include "once/PermitResponse.h"

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace coriandergate::once {

// AttemptTable keeps every attempt for the retention, also those not run, in order to detect late duplicates.
class AttemptTable {
public:
    struct Options {
        unsigned seatCount = 4096; // of the seat map; the same on every daemon
        MonotonicDuration retention = std::chrono::hours(1);
        MonotonicDuration startTimeout = std::chrono::seconds(6); // from open(); the same on every daemon
        std::size_t maximumAttempts = 200'000;
        std::size_t maximumResponseBytes = 2048; // of a response that is reported to the holder
    };

    AttemptTable(Options options, DaemonIdentity self);
    ~AttemptTable();
    AttemptTable(const AttemptTable&) = delete;
    auto operator=(const AttemptTable&) -> AttemptTable& = delete;

    // open() adds a new attempt. False if the attempt is already known or there is no room to store it; the caller must
    // refuse it then.
    [[nodiscard]] auto open(
        const AttemptId& attempt, const IdempotencyKey& key, std::uint64_t fingerprint, MonotonicTime now) -> bool;

    // applyPermit() applies a permit that was requested at `requestedAt`. Ignored if the attempt has started or is
    // closed, or if the permit comes from a holder that has been replaced (see fenceAndCollect()).
    auto applyPermit(const AttemptId& attempt, const Permit& permit, MonotonicTime requestedAt) -> void;

    // tryStart() returns true exactly once, and only while the permit is valid at `now` and `startTimeout` hasn't
    // passed; the caller then sends the request immediately. Otherwise an attempt that is neither started nor closed is
    // closed as NotRun.
    [[nodiscard]] auto tryStart(const AttemptId& attempt, MonotonicTime now) -> bool;

    // close() records the outcome. The caller may close a started attempt as NotRun only if nothing of the request
    // reached the target. The first outcome is final, except that Ran replaces Unknown.
    auto close(const AttemptId& attempt, const AttemptOutcome& outcome) -> void;

    // outcome() returns the outcome of an attempt, for a holder that asks for it. An attempt that isn't known is
    // NotRun: this incarnation never opened it, or it is older than the retention.
    [[nodiscard]] auto outcome(const AttemptId& attempt) const -> AttemptOutcome;

    // unreported() returns the closed attempts whose outcome hasn't been acknowledged.
    [[nodiscard]] auto unreported() const -> std::vector<AttemptRecord>;

    // acknowledge() removes an attempt from unreported().
    auto acknowledge(const AttemptId& attempt) -> void;

    // fenceAndCollect() rejects all permits of epochs before `epoch` for one seat's keys from now on, whatever their
    // lifetime, and returns the started attempts at these keys, for the holder of `epoch`. O(all attempts).
    [[nodiscard]] auto fenceAndCollect(unsigned seat, std::uint64_t epoch, MonotonicTime now)
        -> std::vector<AttemptRecord>;

    // handOver() makes tryStart() fail from now on and returns the started attempts at the keys of all seats, for a
    // planned stop.
    [[nodiscard]] auto handOver(MonotonicTime now) -> std::vector<AttemptRecord>;

private:
    static constexpr std::size_t s_shardCount = 16;
    struct Shard;

    [[nodiscard]] auto isFenced(const IdempotencyKey& key, std::uint64_t epoch) -> bool;
    [[nodiscard]] auto shardOf(const AttemptId& attempt) const -> Shard&;

    Options m_options;
    DaemonIdentity m_self;
    std::array<std::unique_ptr<Shard>, s_shardCount> m_shards;
    Mutex m_fenceMutex;
    std::map<unsigned, std::uint64_t> m_fences GUARDED_BY(m_fenceMutex); // by seat: the lowest epoch that is accepted
};

} // namespace coriandergate::once
