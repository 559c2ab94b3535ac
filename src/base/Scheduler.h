// Interface to the clocks and timers that a component uses, so that a simulation can run it on virtual time.
//
// Implemented by net::AsioScheduler for daemons and by testing::SimulatedScheduler for simulations.
//
//   const auto timer = scheduler.runAfter(2s, [this] { retry(); });
//   scheduler.cancel(timer);
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstdint>
#include <functional>

namespace coriandergate {

// Scheduler is used on one thread. Tasks run on that thread, never within runAfter().
class Scheduler {
public:
    using Task = std::function<void()>;
    using Timer = std::uint64_t; // 0 is no timer

    Scheduler() = default;
    Scheduler(const Scheduler&) = delete;
    auto operator=(const Scheduler&) -> Scheduler& = delete;
    virtual ~Scheduler() = default;

    [[nodiscard]] virtual auto now() const -> MonotonicTime = 0;
    [[nodiscard]] virtual auto suspendAwareNow() const -> SuspendAwareTime = 0;

    // runAfter() runs `task` once after `delay`, unless the returned timer is cancelled before.
    virtual auto runAfter(std::chrono::milliseconds delay, Task task) -> Timer = 0;

    // cancel() returns whether the task was still due; it then doesn't run. Unknown timers are ignored.
    virtual auto cancel(Timer timer) -> bool = 0;
};

} // namespace coriandergate
