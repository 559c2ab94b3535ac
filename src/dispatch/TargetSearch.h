// The order in which one request tries targets: which ones it skips, how long it waits for a slot at each, and when it
// gives up.
//
// A request first asks a few targets for a free slot, then a few for a slot in time for its target latency, then a few
// for a slot before its deadline. When none is usable at all, it pauses and starts over while its target latency can
// still be met.
//
// Load pattern: more requests than slots, so that some targets have room while others refuse or reject.
//
//   TargetSearch search({});
//   while (const auto target = search.next([&] { return balancer.choose({ .excluded = search.excluded() }, now, n); }))
//       ...
#pragma once

#include "dispatch/LoadBalancer.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::dispatch {

// TargetSearch is used by one thread.
class TargetSearch {
public:
    // Stage tells how long the request waits for a slot at each target that it tries.
    enum class Stage {
        NoWait, // only free slots
        WithinTargetLatency, // as long as the target latency can still be met
        BeforeDeadline, // for a fraction of the time to the deadline
        Exhausted, // no further target is tried
    };

    struct Options {
        std::size_t noWaitTries = 3; // targets asked for a free slot without waiting
        std::size_t targetLatencyTries = 2; // targets asked for a slot in time for the target latency
        std::size_t deadlineTries = 2; // targets asked for a slot before the deadline
    };

    // TimeLeft is negative for what has passed.
    struct TimeLeft {
        std::chrono::milliseconds toTargetLatency { 0 };
        std::chrono::milliseconds toDeadline { 0 };
    };

    // Choose returns a target that isn't excluded, or null.
    using Choose = std::function<LoadBalancer::TargetPointer()>;

    explicit TargetSearch(const Options& options);

    // next() returns the target to try next; null once the search is exhausted.
    [[nodiscard]] auto next(const Choose& choose) -> LoadBalancer::TargetPointer;

    // restart() starts over with the targets that were not tried yet.
    auto restart() -> void;

    // restartAfterPause() starts over with all targets but those that rejected the request.
    auto restartAfterPause() -> void;

    // stop() exhausts the search for `reason`, which outlives it.
    auto stop(std::string_view reason) -> void;
    [[nodiscard]] auto stopReason() const -> std::string_view { return m_stopReason; }

    // exclude() skips the target at `address` until the search widens.
    auto exclude(const std::string& address) -> void;

    // recordNoSlot() records that a target had no slot in time, so that another pause would gain nothing.
    auto recordNoSlot() -> void { m_hasMissedSlot = true; }

    // recordRejection() skips a target for good. A target may send its rejection again while it executes the same
    // request, and the two responses bear the same id, so a target that rejected a request never gets it again, also
    // if its daemon has another address by then.
    auto recordRejection(const LoadBalancer::Description& target) -> void;
    [[nodiscard]] auto rejections() const -> std::size_t { return m_rejecting.size(); }

    [[nodiscard]] auto excluded() const -> std::span<const std::string> { return m_excluded; } // addresses
    [[nodiscard]] auto rejecting() const -> std::span<const LoadBalancer::Description> { return m_rejecting; }

    // shouldPause() returns whether an exhausted search of a service with `targets` is worth starting over after a
    // pause of s_pause.
    [[nodiscard]] auto shouldPause(
        std::span<const LoadBalancer::TargetPointer> targets, std::chrono::milliseconds toTargetLatency) const -> bool;

    // maximumWait() is how long the request waits for a slot at the target that next() returned.
    [[nodiscard]] auto maximumWait(const TimeLeft& timeLeft) const -> std::chrono::milliseconds;

    // isPastTargetLatency() returns whether the request no longer counts on meeting its target latency.
    [[nodiscard]] auto isPastTargetLatency() const -> bool { return m_stage == Stage::BeforeDeadline; }

    static constexpr std::chrono::milliseconds s_pause { 60 }; // between two searches when no target is usable

private:
    [[nodiscard]] auto maximumTries() const -> std::size_t;
    auto advanceStage() -> void;
    [[nodiscard]] auto isRejectedByAll(std::span<const LoadBalancer::TargetPointer> targets) const -> bool;

    Options m_options;
    Stage m_stage = Stage::NoWait;
    std::size_t m_triesInStage = 0;
    bool m_hasMissedSlot = false;
    std::string_view m_stopReason;
    std::vector<std::string> m_excluded; // addresses
    std::vector<LoadBalancer::Description> m_rejecting; // as they were when they rejected the request
};

} // namespace coriandergate::dispatch
