// Whether the target beside this daemon fails, judged by everything that it answered to all entries.
//
// Its own health page isn't asked: it can lie either way. A target that fails keeps getting single repeatable requests,
// farther apart while they fail, and takes everything again after a few successes.
//
// Load patterns: a target that fails a part of its requests; one that hangs; one slowed several times.
//
//   TargetHealth health({});
//   health.recordEnd(Outcome::Failed, now);
//   if (health.admit(isRepeatable, now) == Admission::Refused) tell(health.trialIn(now));
#pragma once

#include "base/Clock.h"

#include <chrono>

namespace coriandergate::dispatch {

// TargetHealth is a value; used by one thread.
class TargetHealth {
public:
    struct Options {
        double newestWeight = 0.4; // of the newest outcome in the failure score, 0 to 1
        double failingAbove = 0.35; // a failure after good answers: a trial tells chance from sickness at little cost
        double soundBelow = 0.25; // a good answer after one failure, three after several
        double slowWeight = 0.12; // of the newest outcome in a second score with a longer memory
        double slowSoundBelow = 0.3; // failing parts of requests above this aren't chance
        double lateFailure = 0.6; // what an answer counts that came long after its target latency
        std::chrono::milliseconds firstTrialGap { 150 };
        std::chrono::milliseconds longestTrialGap { 1000 };
        double gapGrowth = 1.5;
        std::chrono::milliseconds onceOnlyTrialAfter { 1000 }; // without any repeatable request to try it with
    };

    enum class Outcome {
        Succeeded,
        Late,
        Failed,
    };

    enum class Admission {
        Sound,
        Trial,
        Refused,
    };

    explicit TargetHealth(const Options& options)
        : m_options(options)
    {
    }

    // admit() says whether a request may be sent to the target now. A trial counts as begun.
    [[nodiscard]] auto admit(bool isRepeatable, MonotonicTime now) -> Admission;

    // recordEnd() notes how a request ended; true when the judgement changed.
    auto recordEnd(Outcome outcome, MonotonicTime now) -> bool;

    // abandonTrial() says that a trial ended without an outcome.
    auto abandonTrial() -> void { m_isTrialUnderWay = false; }

    // reset() begins anew, for a new incarnation of the target.
    auto reset() -> void;

    // trialIn() is how long until the next trial is admitted.
    [[nodiscard]] auto trialIn(MonotonicTime now) const -> std::chrono::milliseconds;

    [[nodiscard]] auto isFailing() const -> bool { return m_isFailing; }
    [[nodiscard]] auto score() const -> double { return m_score; }

private:
    Options m_options;
    double m_score = 0;
    double m_slowScore = 0;
    bool m_isFailing = false;
    bool m_isTrialUnderWay = false;
    MonotonicTime m_trialAt;
    MonotonicTime m_lastTrialAt;
    std::chrono::milliseconds m_gap { 0 };
};

} // namespace coriandergate::dispatch
