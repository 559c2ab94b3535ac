// Runs an event loop of a test until something is true.
//
//   REQUIRE(testing::runUntil(io, [&] { return answer.has_value(); }));
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>

namespace coriandergate::testing {

// runUntil() runs `io` until `isTrue`, for `longest` at most, and says whether it is.
template <typename Condition>
auto runUntil(boost::asio::io_context& io, const Condition& isTrue,
    std::chrono::milliseconds longest = std::chrono::milliseconds { 2000 }) -> bool
{
    constexpr std::chrono::milliseconds step { 10 };
    const auto end = std::chrono::steady_clock::now() + longest;
    while (!isTrue() && std::chrono::steady_clock::now() < end) {
        // A loop that ran out of work stays stopped until it is told to start again.
        if (io.stopped())
            io.restart();
        io.run_one_for(step);
    }
    return isTrue();
}

} // namespace coriandergate::testing
