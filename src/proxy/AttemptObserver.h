// Is told by the owner of each attempt at a target on its host, to find the targets that fail.
#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <string>

namespace coriandergate::proxy {

// AttemptEnd is how an attempt ended, as the daemon beside the target sees it.
enum class AttemptEnd {
    Answered, // a whole answer below 500
    ServerError, // a whole answer of 500 or above
    Shed, // a whole answer of 429 or 503
    HalfAnswer, // an answer that began and was cut or malformed
    NotConnected, // no connection could be made
    Reset, // the connection ended before an answer began
    TimedOut,
    Cancelled, // the caller left
};

class AttemptObserver {
public:
    virtual ~AttemptObserver() = default;

    // began() notes that a request goes to `target` of `service` now; its value is given back to ended(). Safe from any
    // thread.
    virtual auto began(const std::string& service, const std::string& target, std::uint32_t slots, MonotonicTime now)
        -> std::uint64_t = 0;

    // ended() notes how that attempt ended; exactly once for each began(). Safe from any thread.
    virtual auto ended(std::uint64_t attempt, const std::string& service, const std::string& target, AttemptEnd end,
        MonotonicTime now) -> void
        = 0;

    // isEjected() says that the target gets no new work for now. Safe from any thread.
    [[nodiscard]] virtual auto isEjected(const std::string& service, const std::string& target, MonotonicTime now) const
        -> bool
        = 0;
};

} // namespace coriandergate::proxy
