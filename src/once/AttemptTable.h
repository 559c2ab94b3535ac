// The attempts at once-only requests that came to this daemon for a target on its host.
//
// The owner asks the holder of the key's seat itself, and counts a permit's lifetime from the moment it sent the
// question. So neither the clocks of two hosts are compared, nor can a permit be held up on its way and used late:
//
//   if (!attempts.open(attempt, key, fingerprint, now)) refuse();  // this very attempt came before
//   const auto askedAt = now;
//   ... ask, let the request wait for its slot ...
//   attempts.applyPermit(attempt, permit, askedAt);
//   if (attempts.tryStart(attempt, later)) send(request);             // the last step before the target
//   attempts.close(attempt, Ran { 201, answer }, later);
//   for (auto& report : attempts.unreported()) tell(holder, report); // until acknowledged
//
// An attempt starts at most once, and after it is closed as NotRun it never will. Thread safe: shards with locks.
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

// AttemptTable keeps every attempt for the retention, also those not run, so that a late duplicate is recognised.
class AttemptTable {
public:
    struct Options {
        unsigned seatCount = 4096; // the same on every daemon
        MonotonicDuration retention = std::chrono::hours(1);
        MonotonicDuration startTimeout = std::chrono::seconds(6); // of open(); the same on every daemon
        std::size_t maximumAttempts = 200'000;
        std::size_t maximumResponseBytes = 2048; // of an answer handed to the ledger
    };

    AttemptTable(Options options, DaemonIdentity self);
    ~AttemptTable();
    AttemptTable(const AttemptTable&) = delete;
    auto operator=(const AttemptTable&) -> AttemptTable& = delete;

    // open() takes in a new attempt; false, and it must be refused as not run, when it is known already or there is no
    // room to remember it.
    [[nodiscard]] auto open(
        const AttemptId& attempt, const IdempotencyKey& key, std::uint64_t fingerprint, MonotonicTime now) -> bool;

    // permit() notes a permit that answers a question sent at `askedAt`. Ignored once the attempt started or closed,
    // and when it comes from a holder that has been replaced (see recordsOf).
    auto applyPermit(const AttemptId& attempt, const Permit& permit, MonotonicTime askedAt) -> void;

    // start() is true exactly once, and only while the permit is good at `now` and `startTimeout` isn't over; the
    // caller sends the request at once afterwards. When false, the attempt is closed as not run (unless it had been
    // started before).
    [[nodiscard]] auto tryStart(const AttemptId& attempt, MonotonicTime now) -> bool;

    // close() notes the outcome. NotRun is taken from a started attempt only on the caller's word that nothing of the
    // request reached the target. The first outcome stands, but for an Unknown, which a Ran replaces.
    auto close(const AttemptId& attempt, const AttemptOutcome& outcome) -> void;

    // outcome() is what a holder is told who asks about an attempt. An attempt that isn't known is NotRun: it was
    // never opened by this incarnation, or is older than the retention.
    [[nodiscard]] auto outcome(const AttemptId& attempt) const -> AttemptOutcome;

    // unreported() are closed attempts whose permit had been asked for and whose outcome wasn't acknowledged yet.
    [[nodiscard]] auto unreported() const -> std::vector<AttemptRecord>;

    // acknowledge() ends the reporting of an outcome.
    auto acknowledge(const AttemptId& attempt) -> void;

    // recordsOf() are the attempts of one seat's keys that started, for a holder that asks under `epoch`. From then on
    // no permit of an earlier epoch is good here, whatever the clocks say. O(all attempts).
    [[nodiscard]] auto fenceAndCollect(unsigned seat, std::uint64_t epoch, MonotonicTime now)
        -> std::vector<AttemptRecord>;

    // handOver() ends all starting for good and returns what has started, of all seats, for a planned stop.
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
    std::map<unsigned, std::uint64_t> m_fences GUARDED_BY(m_fenceMutex); // seat to least epoch whose permits are good
};

} // namespace coriandergate::once
