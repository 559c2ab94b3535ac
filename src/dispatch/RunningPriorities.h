// The priorities of the requests that the target on this host executes now.
//
// A call that the target makes doesn't tell which of them it is for. The highest of their priorities is a bound: the
// call is for no request of a higher one.
//
// Load pattern: a service that serves callers and the calls of other services is full.
//
//   RunningPriorities running;
//   running.add(3);
//   call.priority = running.highest().value_or(call.priority);
#pragma once

#include <cstddef>
#include <map>
#include <optional>

namespace coriandergate::dispatch {

// RunningPriorities is used by one thread.
class RunningPriorities {
public:
    // add() counts a request of `priority` that begins; remove() one that ended, which add() counted.
    auto add(int priority) -> void { ++m_requests[priority]; }
    auto remove(int priority) -> void
    {
        const auto found = m_requests.find(priority);
        if (found != m_requests.end() && --found->second == 0)
            m_requests.erase(found);
    }

    // highest() is the highest priority, which is the lowest number; nothing while no request is executed.
    [[nodiscard]] auto highest() const -> std::optional<int>
    {
        return m_requests.empty() ? std::nullopt : std::optional(m_requests.begin()->first);
    }

private:
    std::map<int, std::size_t> m_requests; // by priority; no count is 0
};

} // namespace coriandergate::dispatch
