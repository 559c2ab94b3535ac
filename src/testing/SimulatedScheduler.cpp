#include "testing/SimulatedScheduler.h"

#include <algorithm>

namespace coriandergate::testing {

using std::chrono::milliseconds;

auto SimulatedScheduler::suspendAwareNow() const -> SuspendAwareTime
{
    return SuspendAwareTime(m_now.time_since_epoch());
}

auto SimulatedScheduler::runAfter(milliseconds delay, Task task) -> Timer
{
    const auto timer = m_nextTimer++;
    const auto dueAt = m_now + std::max(delay, milliseconds { 0 });
    m_tasks.emplace(dueAt, DueTask { timer, std::move(task) });
    m_dueTimes.emplace(timer, dueAt);
    return timer;
}

auto SimulatedScheduler::cancel(Timer timer) -> bool
{
    const auto due = m_dueTimes.find(timer);
    if (due == m_dueTimes.end())
        return false;
    const auto [first, last] = m_tasks.equal_range(due->second);
    m_tasks.erase(std::find_if(first, last, [timer](const auto& entry) { return entry.second.timer == timer; }));
    m_dueTimes.erase(due);
    return true;
}

auto SimulatedScheduler::runFor(milliseconds duration) -> void
{
    const auto end = m_now + duration;
    while (!m_tasks.empty() && m_tasks.begin()->first <= end) {
        auto next = m_tasks.extract(m_tasks.begin());
        m_dueTimes.erase(next.mapped().timer);
        m_now = next.key();
        next.mapped().task();
    }
    m_now = end;
}

} // namespace coriandergate::testing
