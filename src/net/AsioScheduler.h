// Scheduler on Boost.Asio's timers and the system's clocks, for daemons.
//
//   net::AsioScheduler scheduler(io);
//   fleet::TableWatcher watcher(scheduler, store, { .table = "hosts" });
#pragma once

#include "base/Scheduler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <unordered_map>

namespace coriandergate::net {

// AsioScheduler is used on the thread of its io_context, which outlives it. Its destructor cancels all timers.
class AsioScheduler : public Scheduler {
public:
    explicit AsioScheduler(boost::asio::io_context& io);

    [[nodiscard]] auto now() const -> MonotonicTime override;
    [[nodiscard]] auto suspendAwareNow() const -> SuspendAwareTime override;
    auto runAfter(std::chrono::milliseconds delay, Task task) -> Timer override;
    auto cancel(Timer timer) -> bool override;

private:
    using Timers = std::unordered_map<Timer, boost::asio::steady_timer>;

    boost::asio::io_context& m_io;
    std::shared_ptr<Timers> m_timers;
    Timer m_nextTimer = 1;
};

} // namespace coriandergate::net
