// Whether the target beside this daemon fails, judged by everything that it answered to all entries.
//
// Its own health page isn't asked: it can lie either way. One failure makes the target a suspect, which gets single
// repeatable requests as trials, farther apart while they fail. A good answer clears chance failures; a target that
// failed more lately needs several, and takes more at a time with each. Refusals and slow answers aren't failures:
// where all targets refuse or are slow, leaving some out helps nobody.
//
// Load patterns: a target that fails a part of its requests; one that hangs; one slowed several times.
//
//   TargetHealth health({});
//   health.recordOutcome(Outcome::Failed, now);
//   if (health.admit(isRepeatable, now) == Admission::Refused) tell(health.nextProbeIn(now));
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstddef>

namespace coriandergate::dispatch {

// TargetHealth is a value; used by one thread.
class TargetHealth {
public:
    struct Options {
        double newestWeight = 0.12; // of the newest outcome in the share of failures
        double chanceShare = 0.15; // of failures lately, up to which one good answer clears a target; above it several
        std::size_t answersToClear = 4;
        std::chrono::milliseconds firstTrialGap { 120 };
        std::chrono::milliseconds longestTrialGap { 1500 };
        double gapGrowth = 2;
        std::size_t answersToTryOnceOnly = 2; // a request that can't be repeated is too dear for the first trials
        std::chrono::milliseconds onceOnlyTrialAfter { 2000 }; // without any repeatable request to try it with
        double silentFailure = 0.6; // what a request counts while the target gives no answer at all
    };

    enum class Outcome {
        Succeeded,
        Unresponsive, // it gave no answer to any request for longer than an answer takes
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

    // admit() says whether a request may be sent to the target now. A trial counts as begun.
    [[nodiscard]] auto admit(bool isRepeatable, MonotonicTime now) -> Admission;

    // recordOutcome() notes how a request ended; true when the judgement changed.
    auto recordOutcome(Outcome outcome, MonotonicTime now) -> bool;

    // endProbe() says that a trial which admit() began is over, whether or not recordOutcome() was told how.
    auto endProbe() -> void;

    // reset() begins anew, for a new incarnation of the target.
    auto reset() -> void;

    // nextProbeIn() is how long until the next trial is admitted.
    [[nodiscard]] auto nextProbeIn(MonotonicTime now) const -> std::chrono::milliseconds;

    [[nodiscard]] auto isFailing() const -> bool { return m_isFailing; }
    [[nodiscard]] auto failureRate() const -> double { return m_failureShare; }

private:
    [[nodiscard]] auto trialsAtOnce() const -> std::size_t { return std::size_t { 1 } << m_goodTrials; }

    Options m_options;
    double m_failureShare = 0;
    bool m_isFailing = false;
    std::size_t m_trialsUnderWay = 0;
    std::size_t m_goodTrials = 0; // in a row
    MonotonicTime m_trialAt;
    MonotonicTime m_lastTrialAt;
    std::chrono::milliseconds m_gap { 0 };
};

} // namespace coriandergate::dispatch
