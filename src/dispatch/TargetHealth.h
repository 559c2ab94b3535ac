// Circuit breaker for the target on this host, driven by the outcomes of its requests from all entry daemons.
//
// The target's own health endpoint isn't consulted, since it can be wrong in both directions. One failure marks the
// target as failing; it then gets single retryable requests as probes, at increasing intervals while they fail. After a
// chance failure one success restores it. A target that failed more often lately needs several successes, and admits
// more concurrent probes after each. Rejections by the target and slow responses aren't failures: when all targets
// reject requests or are slow, excluding some of them doesn't help.
//
// Load patterns: a target that fails a fraction of its requests; one that hangs; one slowed down several times.
//
//   TargetHealth health({});
//   health.recordOutcome(Outcome::Failed, now);
//   if (health.admit(isRetryable, now) == Admission::Refused) report(health.nextProbeIn(now));
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstddef>

namespace coriandergate::dispatch {

// TargetHealth is a value; used by one thread.
class TargetHealth {
public:
    struct Options {
        double latestOutcomeWeight = 0.12; // in the moving average that is the failure rate
        double chanceFailureRate = 0.15; // up to this failure rate one success restores the target; above it several
        std::size_t successesToRecover = 4;
        std::chrono::milliseconds firstProbeInterval { 120 };
        std::chrono::milliseconds maximumProbeInterval { 1500 };
        double probeIntervalGrowth = 2;
        // A non-retryable request that fails is lost, so it is a probe only after this many successes in a row, or when
        // no probe was sent for nonRetryableProbeDelay, as in a service without retryable requests.
        std::size_t successesBeforeNonRetryable = 2;
        std::chrono::milliseconds nonRetryableProbeDelay { 2000 };
        double unresponsiveWeight = 0.6; // of an unresponsive outcome in the failure rate, where a failure counts 1
    };

    enum class Outcome {
        Succeeded,
        Unresponsive, // the target has responded to no request at all for longer than a response should take
        Failed,
    };

    enum class Admission {
        Healthy,
        Probe,
        Refused,
    };

    explicit TargetHealth(const Options& options)
        : m_options(options)
    {
    }

    // admit() returns whether a request may be sent to the target now. A probe counts as started.
    [[nodiscard]] auto admit(bool isRetryable, MonotonicTime now) -> Admission;

    // recordOutcome() records how a request ended; true if the target became failing or recovered.
    auto recordOutcome(Outcome outcome, MonotonicTime now) -> bool;

    // endProbe() ends a probe that admit() started, whether or not its outcome was recorded.
    auto endProbe() -> void;

    // reset() forgets all outcomes, for a new incarnation of the target.
    auto reset() -> void;

    // nextProbeIn() returns the time until the next probe may be admitted.
    [[nodiscard]] auto nextProbeIn(MonotonicTime now) const -> std::chrono::milliseconds;

    [[nodiscard]] auto isFailing() const -> bool { return m_isFailing; }
    [[nodiscard]] auto failureRate() const -> double { return m_failureRate; }

private:
    [[nodiscard]] auto maximumConcurrentProbes() const -> std::size_t
    {
        return std::size_t { 1 } << m_consecutiveSuccesses;
    }

    Options m_options;
    double m_failureRate = 0;
    bool m_isFailing = false;
    std::size_t m_probesInFlight = 0;
    std::size_t m_consecutiveSuccesses = 0; // while failing
    MonotonicTime m_nextProbeAt;
    MonotonicTime m_lastProbeAt;
    std::chrono::milliseconds m_probeInterval { 0 };
};

} // namespace coriandergate::dispatch
