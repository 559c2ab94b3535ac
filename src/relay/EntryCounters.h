// How requests of callers ended, for the metrics.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace coriandergate::relay {

// EntryCounters is used by one thread.
struct EntryCounters {
    static constexpr std::array<std::chrono::milliseconds::rep, 10> s_latencyBoundsMs { 5, 20, 50, 100, 250, 500, 1000,
        2000, 5000, 10000 }; // milliseconds; the targets of services lie between 100 and 3000

    std::map<std::string, std::uint64_t> endedByReason; // by status and reason
    std::array<std::uint64_t, s_latencyBoundsMs.size() + 1>
        latencyBuckets {}; // of answered requests, the last one unbounded
    double latencySumMs = 0; // milliseconds
    std::uint64_t retries = 0; // runs beyond the first of a request
    std::uint64_t pathFailures = 0;

    auto recordLatency(std::chrono::milliseconds latencyOfRequest) -> void
    {
        std::size_t bucket = 0;
        while (bucket < s_latencyBoundsMs.size() && latencyOfRequest.count() > s_latencyBoundsMs[bucket])
            ++bucket;
        ++latencyBuckets[bucket];
        latencySumMs += static_cast<double>(latencyOfRequest.count());
    }
};

} // namespace coriandergate::relay
