// One target as the entry sees it: what it announced, and what is known of its load.
//
// All changing fields are atomic and independent of one another, so that choosing takes no lock on a target; a value
// that is a little old only makes a choice a little worse.
//
//   candidate.start();
//   candidate.finish(std::chrono::milliseconds(21), now);
//   candidate.applyLoadReport(report, sentAt, now);
#pragma once

#include "balance/LoadReport.h"
#include "balance/TargetDescription.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace coriandergate::balance {

// Candidate is shared by all threads. Safe from any thread.
class alignas(64) Candidate : public std::enable_shared_from_this<Candidate> {
public:
    explicit Candidate(TargetDescription description);

    // description() is what the target announced.
    [[nodiscard]] auto description() const -> const TargetDescription& { return m_description; }

    // start() notes that a request was sent to the target.
    auto start() -> void { m_inFlight.fetch_add(1, std::memory_order_relaxed); }

    // finish() notes that a request came back after `latency`.
    auto finish(std::chrono::microseconds latency, MonotonicTime now) -> void;

    // abandon() notes that a request ended without saying anything about the target's latency.
    auto abandon() -> void { m_inFlight.fetch_sub(1, std::memory_order_relaxed); }

    // applyLoadReport() takes over the load that came with the answer to a request sent at `sentAt`.
    auto applyLoadReport(const LoadReport& load, MonotonicTime sentAt, MonotonicTime now) -> void;

    // setAvoidedUntil() leaves the target out until then, for a bad path to it.
    auto setAvoidedUntil(MonotonicTime until) -> void;

    // setUnavailableUntil() leaves the target out until then because it can't serve: unlike an ejection, no floor
    // brings it back.
    auto setUnavailableUntil(MonotonicTime until) -> void;

    // canServe() tells whether the target is neither draining nor gone at `now`.
    [[nodiscard]] auto canServe(MonotonicTime now) const -> bool;

    // isUsable() tells whether the target can serve and is neither ejected nor avoided at `now`.
    [[nodiscard]] auto isUsable(MonotonicTime now) const -> bool;

    // isDraining() tells whether the target takes no new work.
    [[nodiscard]] auto isDraining() const -> bool;

    // unusableUntil() is when the target's ejection or avoidance ends, in the past when there is none.
    [[nodiscard]] auto unusableUntil() const -> MonotonicTime;

    // outstanding() is the number of requests at the target: the entry's own, or what the target's daemon last said if
    // that is more, fading with its age.
    [[nodiscard]] auto outstanding(MonotonicTime now) const -> float;

    // latency() is the recent latency of the target, and tends to `usual` as the last observation grows old.
    [[nodiscard]] auto latency(std::chrono::microseconds usual, MonotonicTime now) const -> std::chrono::microseconds;

    // isLessPreferred() tells whether the target would be ejected if the floor allowed it.
    [[nodiscard]] auto isLessPreferred() const -> bool { return m_isLessPreferred.load(std::memory_order_relaxed); }

private:
    const TargetDescription m_description;
    std::atomic<int> m_inFlight = 0;
    std::atomic<int> m_reported = 0; // busy slots and queue
    std::atomic<std::int64_t> m_reportedAt = 0; // all times: nanoseconds of the monotonic clock
    std::atomic<std::int64_t> m_latency = 0; // microseconds
    std::atomic<std::int64_t> m_latencyAt = 0;
    std::atomic<std::int64_t> m_ejectedUntil = 0;
    std::atomic<std::int64_t> m_avoidedUntil = 0;
    std::atomic<std::int64_t> m_goneUntil = 0;
    std::atomic<bool> m_isLessPreferred = false;
    std::atomic<bool> m_isDraining = false;
};

} // namespace coriandergate::balance
