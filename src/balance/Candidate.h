// One target as this daemon's load balancer sees it: what the target announced, and what is known of its load.
//
// All mutable fields are independent atomics, so that choosing a target takes no lock on it. A slightly stale value
// only makes the choice slightly worse.
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

    // start() records that a request was sent to the target.
    auto start() -> void { m_inFlight.fetch_add(1, std::memory_order_relaxed); }

    // finish() records that a request completed after `latency`.
    auto finish(std::chrono::microseconds latency, MonotonicTime now) -> void;

    // abandon() records that a request ended without a usable latency sample.
    auto abandon() -> void { m_inFlight.fetch_sub(1, std::memory_order_relaxed); }

    // applyLoadReport() applies the load report in the response to a request sent at `sentAt`.
    auto applyLoadReport(const LoadReport& load, MonotonicTime sentAt, MonotonicTime now) -> void;

    // setAvoidedUntil() marks the target as avoided until `until` because the network path to it is bad, or because it
    // is ejected on this host.
    auto setAvoidedUntil(MonotonicTime until) -> void;

    // setUnavailableUntil() marks the target as unavailable until `until` because it can't serve. Unlike an ejection,
    // this also holds when healthy capacity is below the floor.
    auto setUnavailableUntil(MonotonicTime until) -> void;

    // canServe() tells whether the target is neither draining nor unavailable at `now`.
    [[nodiscard]] auto canServe(MonotonicTime now) const -> bool;

    // isUsable() tells whether the target can serve and is neither ejected nor avoided at `now`.
    [[nodiscard]] auto isUsable(MonotonicTime now) const -> bool;

    // isDraining() tells whether the target accepts no new requests.
    [[nodiscard]] auto isDraining() const -> bool;

    // ejectedOrAvoidedUntil() is when the later of the target's ejection and avoidance ends; in the past when there is
    // none.
    [[nodiscard]] auto ejectedOrAvoidedUntil() const -> MonotonicTime;

    // outstandingRequests() estimates the requests at the target: the larger of this daemon's own requests in flight
    // and the last reported load, which counts for less as the report ages.
    [[nodiscard]] auto outstandingRequests(MonotonicTime now) const -> float;

    // latency() is the recent latency of the target. It approaches `fallback` as the last sample ages.
    [[nodiscard]] auto latency(std::chrono::microseconds fallback, MonotonicTime now) const
        -> std::chrono::microseconds;

    // isLessPreferred() tells whether the target would be ejected if the healthy floor allowed it.
    [[nodiscard]] auto isLessPreferred() const -> bool { return m_isLessPreferred.load(std::memory_order_relaxed); }

private:
    const TargetDescription m_description;
    std::atomic<int> m_inFlight = 0;
    std::atomic<int> m_reportedLoad = 0; // busy slots plus waiting requests
    std::atomic<std::int64_t> m_reportedAt = 0; // all times: nanoseconds of the monotonic clock, 0 if never set
    std::atomic<std::int64_t> m_latencyMicroseconds = 0; // moving average
    std::atomic<std::int64_t> m_latencyAt = 0;
    std::atomic<std::int64_t> m_ejectedUntil = 0;
    std::atomic<std::int64_t> m_avoidedUntil = 0;
    std::atomic<std::int64_t> m_unavailableUntil = 0;
    std::atomic<bool> m_isLessPreferred = false;
    std::atomic<bool> m_isDraining = false;
};

} // namespace coriandergate::balance
