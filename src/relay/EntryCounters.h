// Counters of an entry's requests, for the metrics page.
//
//   ++counters.endedByReason["200 answered"];
//   counters.recordLatency(latency);
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace coriandergate::relay {

// EntryCounters is not thread-safe.
struct EntryCounters {
    static constexpr std::array<std::chrono::milliseconds::rep, 10> s_latencyBoundsMs { 5, 20, 50, 100, 250, 500, 1000,
        2000, 5000, 10000 }; // upper bounds of buckets; services have target latencies of 100 to 3000 ms

    std::map<std::string, std::uint64_t> endedByReason; // by "status reason"
    std::array<std::uint64_t, s_latencyBoundsMs.size() + 1>
        latencyBuckets {}; // of answered requests; the last bucket is unbounded
    double latencySumMs = 0;
    std::uint64_t retries = 0; // attempts sent beyond the first of a request
    std::uint64_t hedges = 0; // second attempts beside a first one that was still running
    std::uint64_t hedgesWon = 0; // those whose response the caller got
    std::uint64_t refusedForHomes = 0; // requests without a target in their home regions
    std::uint64_t refusedForEvacuations = 0; // requests whose targets are all in evacuated data centres
    std::uint64_t pathFailures = 0; // attempts to reserve a slot to which the peer did not respond

    auto recordLatency(std::chrono::milliseconds requestLatency) -> void
    {
        std::size_t bucket = 0;
        while (bucket < s_latencyBoundsMs.size() && requestLatency.count() > s_latencyBoundsMs[bucket])
            ++bucket;
        ++latencyBuckets[bucket];
        latencySumMs += static_cast<double>(requestLatency.count());
    }
};

} // namespace coriandergate::relay
