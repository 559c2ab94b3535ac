#include "net/AsioScheduler.h"

namespace coriandergate::net {

AsioScheduler::AsioScheduler(boost::asio::io_context& io)
    : m_io(io)
    , m_timers(std::make_shared<Timers>())
{
}

auto AsioScheduler::now() const -> MonotonicTime { return monotonicNow(); }

auto AsioScheduler::suspendAwareNow() const -> SuspendAwareTime { return SuspendAwareClock::now(); }

auto AsioScheduler::runAfter(std::chrono::milliseconds delay, Task task) -> Timer
{
    const auto id = m_nextTimer++;
    auto& timer = m_timers->try_emplace(id, m_io, delay).first->second;
    timer.async_wait(
        [weak = std::weak_ptr(m_timers), id, task = std::move(task)](const boost::system::error_code& error) {
            const auto timers = weak.lock();
            // A timer that expired in the turn of the event loop in which it was cancelled reports no error.
            if (!error && timers && timers->erase(id) > 0)
                task();
        });
    return id;
}

auto AsioScheduler::cancel(Timer timer) -> bool { return m_timers->erase(timer) > 0; }

} // namespace coriandergate::net
