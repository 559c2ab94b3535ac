// Decides for how long a host leaves a store that fails it to the other hosts.
//
// A single failure isn't enough: the store may have closed the requests of all hosts, and the request is then retried
// at once. After consecutive failures the store may still serve other hosts, so this one gets its rows from them. The
// pause counts from the request that failed and not from its failure, which may come a timeout later: a host whose way
// to the store is back must not go on relying on others, since these may be cut off by then.
//
// Load pattern: an outage, in which every host would ask the store again and again.
//
//   StoreBackoff backoff({});
//   backoff.recordFailure(sentAt);
//   if (backoff.isActive(now)) watchThroughOthers(backoff.timeLeft(now)); else watchStore();
#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace coriandergate::fleet {

// StoreBackoff is a value; not thread-safe.
class StoreBackoff {
public:
    struct Options {
        std::size_t failures = 2; // consecutive
        // Shorter than the 3 s after which a host that was cut off counts as calm again, by a request to the store.
        std::chrono::milliseconds pause { 2500 };
    };

    explicit StoreBackoff(const Options& options)
        : m_options(options)
    {
    }

    // recordResponse() says that the store responds; recordFailure() that a request that was sent at `sentAt` failed.
    auto recordResponse() -> void { m_failures = 0; }
    auto recordFailure(MonotonicTime sentAt) -> void
    {
        ++m_failures;
        extend(sentAt);
    }

    // extend() makes a pause last as if a request that was sent at `sentAt` had failed, without counting the failure.
    auto extend(MonotonicTime sentAt) -> void { m_until = std::max(m_until, sentAt + m_options.pause); }

    [[nodiscard]] auto isActive(MonotonicTime now) const -> bool
    {
        return m_failures >= m_options.failures && now < m_until;
    }

    // timeLeft() is the rest of the pause, 0 outside of one.
    [[nodiscard]] auto timeLeft(MonotonicTime now) const -> std::chrono::milliseconds
    {
        return isActive(now) ? std::chrono::ceil<std::chrono::milliseconds>(m_until - now)
                             : std::chrono::milliseconds { 0 };
    }

private:
    Options m_options;
    std::size_t m_failures = 0; // consecutive
    MonotonicTime m_until;
};

} // namespace coriandergate::fleet
