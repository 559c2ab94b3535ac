// What callers may send, and how long they may take.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace coriandergate::config {

// Largest limit on headers in bytes that http::RequestParser keeps.
inline constexpr std::size_t largestHeaderLimit = std::numeric_limits<std::uint32_t>::max();

// CallerLimits is part of a Configuration.
struct CallerLimits {
    std::size_t maximumHeaderBytes = 16 * 1024;
    std::size_t maximumBodyBytes = 8 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 10000 }; // for a request to arrive
    std::chrono::milliseconds idleTimeout { 60000 }; // between requests of one connection

    friend auto operator==(const CallerLimits&, const CallerLimits&) -> bool = default;
};

} // namespace coriandergate::config
