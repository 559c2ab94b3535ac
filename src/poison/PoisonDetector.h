// Finds the request that crashes its targets, at the seat holder of the service.
//
// Everything that was running on a target when it crashed is suspect. Suspects of a service run one at a time, each
// with a permit; so when a target crashes again under a suspect, only that one can be the cause, and it is poison. One
// that ends without a crash is cleared. Two targets are lost at most, and what ran beside the culprit by chance is
// delayed but not refused.
//
//   PoisonDetector judge("ledger", {});
//   const auto notice = judge.recordCrash(fingerprint, "10.0.0.7:9000", now); // tell the other daemons
//   const auto permit = judge.requestPermit(fingerprint, now);
#pragma once

#include "base/Clock.h"
#include "base/Mutex.h"
#include "poison/PoisonStatusUpdate.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace coriandergate::poison {

// PoisonDetector judges the requests of one service. Safe from any thread.
class PoisonDetector {
public:
    struct Options {
        std::chrono::milliseconds suspectTtl { 60000 }; // a suspect that doesn't come back is forgotten
        std::chrono::milliseconds poisonTtl { 600000 };
        std::chrono::milliseconds permitTtl { 10000 }; // longer than the longest deadline of a request
        std::chrono::milliseconds sameCrashWindow { 2000 }; // crashes of one target within this time are one crash
    };

    enum class PermitDecision {
        Grant,
        Wait, // another suspect is running
        Refuse, // poison
    };

    // PoisonDetector() begins for a holder that took its seat at `heldSince`: permits that the former holder gave may
    // still be in use for the lifetime of a permit.
    PoisonDetector(std::string service, const Options& options, MonotonicTime heldSince);

    // recordCrash() notes that the request was running on `target` when that crashed, and returns what is to be told to
    // all.
    [[nodiscard]] auto recordCrash(std::uint64_t fingerprint, const std::string& target, MonotonicTime now)
        -> PoisonStatusUpdate;

    // requestPermit() asks whether a suspect may run now.
    [[nodiscard]] auto requestPermit(std::uint64_t fingerprint, MonotonicTime now) -> PermitDecision;

    // recordCompletion() notes that a suspect ended; `isClean` when its target lived on and answered. Returns what is
    // to be told.
    [[nodiscard]] auto recordCompletion(std::uint64_t fingerprint, bool isClean, MonotonicTime now)
        -> PoisonStatusUpdate;

private:
    struct Suspect {
        PoisonStatus status = PoisonStatus::Suspect;
        MonotonicTime until;
        std::string lastTarget;
        MonotonicTime lastCrashAt;
    };

    [[nodiscard]] REQUIRES(m_mutex) auto noticeLocked(std::uint64_t fingerprint, MonotonicTime now) const
        -> PoisonStatusUpdate;
    [[nodiscard]] REQUIRES(m_mutex) auto isRunningLocked(std::uint64_t fingerprint, MonotonicTime now) const -> bool;

    const std::string m_service;
    const Options m_options;
    mutable Mutex m_mutex;
    std::unordered_map<std::uint64_t, Suspect> m_suspects GUARDED_BY(m_mutex);
    std::uint64_t m_running GUARDED_BY(m_mutex) = 0;
    MonotonicTime m_runningUntil GUARDED_BY(m_mutex);
};

} // namespace coriandergate::poison
