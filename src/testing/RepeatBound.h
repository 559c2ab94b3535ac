// How many repeated arrivals at a service operators allow in a window of any position.
//
// A window's requests are those in it, in the one before it, or in the one that began half a window earlier, whichever
// are most.
//
//   const auto excess = worstExcess(requestTimes, repeatTimes, { .perRequest = 0.2, .perWindow = 64, .window = 10s });
#pragma once

#include "base/Clock.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace coriandergate::testing {

// RepeatBound is a plain struct.
struct RepeatBound {
    double perRequest = 0.2;
    double perWindow = 64; // in addition
    std::chrono::milliseconds window { 10000 };
};

// worstExcess() is by how many the repeats of the worst window exceed what is allowed; negative if none does. The times
// are sorted. Thread-safe.
[[nodiscard]] inline auto worstExcess(const std::vector<MonotonicTime>& requests,
    const std::vector<MonotonicTime>& repeats, const RepeatBound& bound) -> double
{
    const auto countFrom = [&bound](const std::vector<MonotonicTime>& times, MonotonicTime from) {
        const auto first = std::lower_bound(times.begin(), times.end(), from);
        return static_cast<double>(std::lower_bound(first, times.end(), from + bound.window) - first);
    };
    double worst = -bound.perWindow;
    for (const auto from : repeats) {
        const auto most = std::max({ countFrom(requests, from), countFrom(requests, from - bound.window),
            countFrom(requests, from - bound.window / 2) });
        worst = std::max(worst, countFrom(repeats, from) - (bound.perRequest * most + bound.perWindow));
    }
    return worst;
}

} // namespace coriandergate::testing
