// Scheduler on virtual time for simulations: a minute of a large fleet takes seconds, and each run repeats exactly.
//
//   SimulatedScheduler scheduler;
//   scheduler.runAfter(2s, [&] { ... });
//   scheduler.runFor(5s);
#pragma once

#include "base/Scheduler.h"

#include <map>

namespace coriandergate::testing {

// SimulatedScheduler starts at an arbitrary fixed time and advances only within runFor().
class SimulatedScheduler : public Scheduler {
public:
    [[nodiscard]] auto now() const -> MonotonicTime override { return m_now; }
    [[nodiscard]] auto suspendAwareNow() const -> SuspendAwareTime override;
    auto runAfter(std::chrono::milliseconds delay, Task task) -> Timer override;
    auto cancel(Timer timer) -> bool override;

    // runFor() runs every task that is due within `duration`, in order, and advances the time by `duration`.
    auto runFor(std::chrono::milliseconds duration) -> void;

private:
    struct DueTask {
        Timer timer = 0;
        Task task;
    };

    MonotonicTime m_now { std::chrono::hours { 1 } };
    std::multimap<MonotonicTime, DueTask> m_tasks; // tasks of one time in the order in which they were added
    std::map<Timer, MonotonicTime> m_dueTimes;
    Timer m_nextTimer = 1;
};

} // namespace coriandergate::testing
