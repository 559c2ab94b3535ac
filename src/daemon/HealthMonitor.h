// Observes the targets of this host, reports on them to the seat holder of their service, and keeps those out of
// service for which it holds a permit.
//
// Reports go to a `Sender`, which answers later or at once; the daemon that holds the seat itself answers from its own
// EjectionDecider.
//
//   auto monitor = std::make_shared<HealthMonitor>({}, sender);
//   context->observer = monitor;
//   monitor->update(registry.snapshot(now).targets, now); // every observation interval
#pragma once

#include "base/Mutex.h"
#include "health/EjectionLease.h"
#include "health/TargetObserver.h"
#include "health/TargetReportResponse.h"
#include "proxy/AttemptObserver.h"

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace coriandergate::member {
struct Target;
}

namespace coriandergate::daemon {

// HealthMonitor is safe from any thread; attempts are in shards, each under its own lock.
class HealthMonitor : public proxy::AttemptObserver {
public:
    struct Options {
        health::TargetObserver::Options observer;
        std::chrono::milliseconds regularReport { 10000 };
        std::chrono::milliseconds firstReports { 1000 }; // between reports while the service's baseline is unknown
        std::chrono::milliseconds urgentReport { 240 }; // least time between reports on a suspicious or ejected target
    };

    // Change tells what happened to a target.
    struct Change {
        std::string service;
        std::string target;
        bool isEjected = false;
        health::Verdict verdict;
    };

    using Answered = std::function<void(const health::TargetReportResponse&)>;
    using Sender = std::function<void(const health::TargetReport&, MonotonicTime now, Answered)>;

    HealthMonitor(const Options& options, Sender sender);

    auto began(const std::string& service, const std::string& target, std::uint32_t slots, MonotonicTime now)
        -> std::uint64_t override;
    auto ended(std::uint64_t attempt, const std::string& service, const std::string& target, proxy::AttemptEnd end,
        MonotonicTime now) -> void override;
    [[nodiscard]] auto isEjected(const std::string& service, const std::string& target, MonotonicTime now) const
        -> bool override;

    // update() takes over which targets are announced on this host, closes an interval of observation for each and
    // sends the reports that are due. Returns what changed since the last call. From one thread.
    [[nodiscard]] auto update(const std::vector<member::Target>& targets, MonotonicTime now) -> std::vector<Change>;

    // sendReport() sends a report on `target` now, for a holder that asked for it.
    auto sendReport(const std::string& service, const std::string& target, MonotonicTime now) -> void;

private:
    struct Observed;
    using ObservedPointer = std::shared_ptr<Observed>;
    using Key = std::pair<std::string, std::string>;

    struct Attempt {
        ObservedPointer observed;
        health::TargetObserver::Ticket ticket;
    };

    struct alignas(64) Shard {
        Mutex mutex;
        std::unordered_map<std::uint64_t, Attempt> attempts GUARDED_BY(mutex);
    };

    static constexpr std::size_t s_shardCount = 16;

    [[nodiscard]] auto find(const std::string& service, const std::string& target) const -> ObservedPointer;
    [[nodiscard]] auto take(std::uint64_t attempt) -> Attempt;
    auto adopt(const std::vector<member::Target>& targets, MonotonicTime now) -> std::vector<ObservedPointer>;
    auto endInterval(const ObservedPointer& observed, MonotonicTime now, std::vector<Change>& changes) -> void;
    auto report(const ObservedPointer& observed, MonotonicTime now) -> void;

    const Options m_options;
    const Sender m_sender;
    mutable Mutex m_mutex;
    std::map<Key, ObservedPointer> m_observed GUARDED_BY(m_mutex);
    std::array<Shard, s_shardCount> m_shards;
    std::atomic<std::uint64_t> m_nextAttempt = 1;
};

} // namespace coriandergate::daemon
