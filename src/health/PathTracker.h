// Detects slow or lossy network paths from this daemon to the hosts of targets, separately from the targets' health.
//
// The daemon on a target's host reports queueing and service time; the rest of the total is the latency of the path. A
// bad path is avoided by this daemon only and is no reason to eject the target, which others may reach well. A path is
// compared with the paths to all hosts of the same data centre.
//
//   PathTracker paths({});
//   paths.observe("10.1.0.9:7101", { "gujarat", "rajkot-1" }, total - reported, now);
//   if (paths.isAvoided("10.1.0.9:7101", now)) chooseAnotherHost();
#pragma once

#include "base/Clock.h"
#include "base/Locality.h"
#include "base/Mutex.h"
#include "health/ExponentialBackoff.h"
#include "health/ServiceTimeHistogram.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coriandergate::health {

// PathTracker tracks all paths of one daemon. Safe from any thread; state is sharded by host, one lock per shard.
class PathTracker {
public:
    struct Options {
        double slowFactor = 4; // a path is slow above this multiple of the data centre's median latency
        std::chrono::microseconds minSlowLatency { 3000 }; // lower latencies are never slow
        float avoidanceScore = 3; // bad observations minus half of the good ones; from this score on, avoid the path
        ExponentialBackoff::Options avoidanceTime; // how long a path is avoided
    };

    explicit PathTracker(const Options& options);

    // observe() records the network latency of one request to `host` and its response.
    auto observe(std::string_view host, const Locality& locality, std::chrono::microseconds latency, MonotonicTime now)
        -> void;

    // observeLoss() records that `host` could not be reached or that a response was lost.
    auto observeLoss(std::string_view host, MonotonicTime now) -> void;

    // isAvoided() tells whether requests should go to another host at `now`.
    [[nodiscard]] auto isAvoided(std::string_view host, MonotonicTime now) const -> bool;

private:
    struct Path {
        float score = 0;
        ExponentialBackoff backoff;
    };

    struct alignas(64) Shard {
        mutable Mutex mutex;
        std::unordered_map<std::string, Path> paths GUARDED_BY(mutex);
    };

    static constexpr std::size_t s_shardCount = 16;

    [[nodiscard]] auto shardOf(std::string_view host) const -> std::size_t;
    // updateSlowThreshold() adds `latency` to the data centre's histogram and returns the latency above which a path is
    // slow; the maximum value while there are too few observations.
    [[nodiscard]] auto updateSlowThreshold(const Locality& locality, std::chrono::microseconds latency)
        -> std::chrono::microseconds;
    auto recordObservation(std::string_view host, bool isBad, MonotonicTime now) -> void;

    const Options m_options;
    std::array<Shard, s_shardCount> m_shards;
    Mutex m_latenciesMutex;
    std::map<Locality, ServiceTimeHistogram> m_latencies GUARDED_BY(m_latenciesMutex);
};

} // namespace coriandergate::health
