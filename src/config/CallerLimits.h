// What callers may send, and how long they may take.
#pragma once

#include <chrono>
#include <cstddef>

namespace coriandergate::config {

// CallerLimits is part of a Configuration.
struct CallerLimits {
    std::size_t maximumHeaderBytes = 16 * 1024;
    std::size_t maximumBodyBytes = 8 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 10000 }; // for a request to arrive
    std::chrono::milliseconds idleTimeout { 60000 }; // between requests of one connection

    friend auto operator==(const CallerLimits&, const CallerLimits&) -> bool = default;
};

} // namespace coriandergate::config
