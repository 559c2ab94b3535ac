// Counts how many targets each request has crashed.
//
// A request may crash every target that executes it, and callers send it again and again. Once it has crashed a few
// targets it must not be retried, because each further crash also ends the other requests of that target. Requests that
// merely ran beside it are counted too, until they succeed.
//
// Load pattern: the same few requests arrive at all hosts, and each of them crashes every target that it reaches.
//
//   CrashTracker tracker({});
//   if (tracker.recordCrash(fingerprint, "10.1.0.12:7780", now) >= CrashTracker::s_maximumCrashes)
//       giveUp();
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coriandergate::dispatch {

// CrashTracker is used by one thread. A request is identified by a fingerprint of what it asks for, which is the same
// for all of its attempts and on all hosts.
class CrashTracker {
public:
    // A request that has crashed so many targets is not retried. Two may be a coincidence, such as a data centre that
    // loses power.
    static constexpr std::size_t s_maximumCrashes = 3;

    struct Options {
        std::size_t maximumRequests = 1024; // the one whose last crash is the oldest is forgotten first
        std::chrono::milliseconds lifetime { std::chrono::hours(1) }; // since the last crash
        // Reports on one target within this time are of the same crash. A target takes longer to start again.
        std::chrono::milliseconds sameCrashWindow { 1000 };
    };

    explicit CrashTracker(const Options& options)
        : m_options(options)
    {
    }

    // recordCrash() records that `target` crashed while it executed the request, and returns crashes().
    auto recordCrash(std::uint64_t fingerprint, std::string_view target, MonotonicTime now) -> std::size_t;

    // recordSuccess() forgets the crashes of a request that a target has answered.
    auto recordSuccess(std::uint64_t fingerprint) -> void { m_requests.erase(fingerprint); }

    // crashes() returns how many crashes are known of the request.
    [[nodiscard]] auto crashes(std::uint64_t fingerprint, MonotonicTime now) const -> std::size_t;

    // size() is the number of requests with a known crash.
    [[nodiscard]] auto size() const -> std::size_t { return m_requests.size(); }

private:
    struct Crash {
        std::string target;
        MonotonicTime at;
    };
    struct Request {
        std::size_t crashes = 0;
        std::vector<Crash> recentCrashes; // within sameCrashWindow
        MonotonicTime lastCrashAt;
    };

    auto forgetOldest(MonotonicTime now) -> void;

    Options m_options;
    std::unordered_map<std::uint64_t, Request> m_requests;
};

} // namespace coriandergate::dispatch
