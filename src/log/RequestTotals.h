// How the requests of a group ended: of a route, a client account, a service, a second or all of them.
//
//   RequestTotals totals;
//   totals.add({ .status = 503, .why = "no slot in time", .time = 12ms });
//   totals.refused.total(); // 1
#pragma once

#include "log/ReasonCounts.h"
#include "log/TimeHistogram.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace coriandergate::log {

struct RequestTotals {
    enum class Kind {
        Answered,
        Refused, // not run
        Failed, // may have run, or the target responded with an error
        CallerLeft,
    };

    // End is what a daemon logs at the end of a request.
    struct End {
        int status = 0; // 0: none
        std::string_view why;
        std::chrono::milliseconds time { 0 };
        std::uint64_t attempts = 0; // targets that the request was sent to
        std::uint64_t rejections = 0; // of them, targets that rejected it

        [[nodiscard]] auto kind() const -> Kind;
    };

    auto add(const End& end) -> void;
    auto merge(const RequestTotals& other) -> void;

    // lost() is how many requests callers got no good response to.
    [[nodiscard]] auto lost() const -> std::uint64_t { return refused.total() + failed.total() + callerLeft; }

    // weight() orders groups: those with the most lost requests matter most, then those with the most requests.
    [[nodiscard]] auto weight() const -> double;

    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t callerLeft = 0;
    std::uint64_t attempts = 0;
    std::uint64_t rejections = 0;
    ReasonCounts refused;
    ReasonCounts failed;
    TimeHistogram times; // to the end, of all requests
    TimeHistogram refusalTimes; // to the end, of refused requests
};

} // namespace coriandergate::log
