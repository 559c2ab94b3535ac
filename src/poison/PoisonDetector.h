// Detects poison requests: requests that crash the targets that run them.
//
// Every request that was running on a target when it crashed becomes a suspect. The suspects of a service run one at a
// time, each with a permit, so a further crash under a permit can only be caused by the request that holds it; that
// request is then poison and is refused. A suspect that its target answers under a permit is cleared. A poison request
// therefore crashes at most two targets, and requests that merely ran beside it are delayed but not refused.
//
//   PoisonDetector detector("ledger", {}, now);
//   statusTable.apply(detector.recordCrash(fingerprint, "10.0.0.7:9000", now), now);
//   const auto decision = detector.requestPermit(fingerprint, now);
#pragma once

#include "base/Clock.h"
#include "base/Mutex.h"
#include "poison/PoisonStatusUpdate.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace coriandergate::poison {

// PoisonDetector tracks the suspect and poison requests of one service. Safe from any thread.
class PoisonDetector {
public:
    struct Options {
        std::chrono::milliseconds suspectTtl { 60000 }; // a suspect is cleared this long after its last reported crash
        std::chrono::milliseconds poisonTtl { 600000 }; // the same for a poison request
        std::chrono::milliseconds permitTtl { 10000 }; // must exceed the longest request deadline
        std::chrono::milliseconds sameCrashWindow { 2000 }; // repeated reports for one target count as one crash
    };

    enum class PermitDecision {
        Grant,
        Wait, // another permit is in use; ask again later
        Refuse, // the request is poison
    };

    // PoisonDetector() takes over the service at `activeSince`. It grants no permit for the first permitTtl, since
    // permits of the previous detector may still be in use.
    PoisonDetector(std::string service, const Options& options, MonotonicTime activeSince);

    // recordCrash() records that `target` crashed while it ran the request, and returns the request's new status for
    // every PoisonStatusTable.
    [[nodiscard]] auto recordCrash(std::uint64_t fingerprint, const std::string& target, MonotonicTime now)
        -> PoisonStatusUpdate;

    // requestPermit() decides whether a suspect may run now. A permit lasts until the suspect crashes its target or
    // completes, at most permitTtl.
    [[nodiscard]] auto requestPermit(std::uint64_t fingerprint, MonotonicTime now) -> PermitDecision;

    // recordCompletion() records that a suspect ended and returns its new status. `isAnswered` is true when its target
    // stayed up and answered; that clears the suspect if it holds the permit.
    [[nodiscard]] auto recordCompletion(std::uint64_t fingerprint, bool isAnswered, MonotonicTime now)
        -> PoisonStatusUpdate;

private:
    struct TrackedRequest {
        PoisonStatus status = PoisonStatus::Suspect;
        MonotonicTime expiresAt;
        std::string lastTarget;
        MonotonicTime lastCrashAt;
    };

    [[nodiscard]] REQUIRES(m_mutex) auto statusUpdateLocked(std::uint64_t fingerprint, MonotonicTime now) const
        -> PoisonStatusUpdate;
    [[nodiscard]] REQUIRES(m_mutex) auto hasPermitLocked(std::uint64_t fingerprint, MonotonicTime now) const -> bool;

    const std::string m_service;
    const Options m_options;
    mutable Mutex m_mutex;
    std::unordered_map<std::uint64_t, TrackedRequest> m_trackedRequests GUARDED_BY(m_mutex);
    std::uint64_t m_permitHolder GUARDED_BY(m_mutex) = 0;
    MonotonicTime m_permitExpiresAt GUARDED_BY(m_mutex);
};

} // namespace coriandergate::poison
