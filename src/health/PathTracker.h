// Judges the paths from this daemon to the hosts of targets, apart from the targets themselves.
//
// The daemon beside a target reports how long the target and its queue took; what remains of the total is the path. A
// slow or lossy path is avoided by this daemon alone and is no reason to eject the target, which others reach well.
// Paths are compared with those to other hosts of the same data centre.
//
//   PathTracker paths({});
//   paths.observe("10.1.0.9:7101", { "gujarat", "rajkot-1" }, total - reported, now);
//   if (paths.isAvoided("10.1.0.9:7101", now)) preferAnother();
#pragma once

#include "base/Clock.h"
#include "base/Locality.h"
#include "base/Mutex.h"
#include "health/GrowingHold.h"
#include "health/ServiceTimeHistogram.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace coriandergate::health {

// PathTracker keeps all paths of one daemon. Safe from any thread; state is in shards by host, each under its own lock.
class PathTracker {
public:
    struct Options {
        double slowFactor = 4; // times the data centre's median path
        std::chrono::microseconds slowLeast { 3000 }; // a shorter path is never slow
        float scoreUntilAvoided = 3; // bad observations, less half the good ones since
        GrowingHold::Options hold; // how long a path is avoided
    };

    explicit PathTracker(const Options& options);

    // observe() notes the time that a request spent on the way to and from `host`.
    auto observe(std::string_view host, const Locality& locality, std::chrono::microseconds path, MonotonicTime now)
        -> void;

    // observeLoss() notes that `host` could not be reached, or that an answer was lost on the way.
    auto observeLoss(std::string_view host, MonotonicTime now) -> void;

    // isAvoided() tells whether requests should take another host for now.
    [[nodiscard]] auto isAvoided(std::string_view host, MonotonicTime now) const -> bool;

private:
    struct Path {
        float score = 0;
        GrowingHold hold;
    };

    struct alignas(64) Shard {
        mutable Mutex mutex;
        std::unordered_map<std::string, Path> paths GUARDED_BY(mutex);
    };

    static constexpr std::size_t s_shardCount = 16;

    [[nodiscard]] auto shardOf(std::string_view host) const -> std::size_t;
    [[nodiscard]] auto slowFrom(const Locality& locality, std::chrono::microseconds path) -> std::chrono::microseconds;
    auto note(std::string_view host, bool isBad, MonotonicTime now) -> void;

    const Options m_options;
    std::array<Shard, s_shardCount> m_shards;
    Mutex m_normalMutex;
    std::map<Locality, ServiceTimeHistogram> m_normal GUARDED_BY(m_normalMutex);
};

} // namespace coriandergate::health
