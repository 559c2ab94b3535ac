// The current normal behaviour of the targets of one service, and the evidence that an observation gives against a
// target.
//
// The service's leader computes a Baseline, four numbers, from the peers of a target and sends it to the daemons on the
// targets' hosts. Evidence is a log-likelihood ratio, in nats. For service times it compares a log-normal distribution
// with the peers' median and spread with the same distribution 2.8 times slower; for outcomes it compares the peers'
// failure rate with a clearly higher one.
//
// The evidence of a service time is bounded, and an offset is subtracted from it so that the mean of exp(evidence) over
// the peers' own observations is at most one. By Wald's inequality, the sum of such evidence then reaches h on a
// healthy target with a probability of at most exp(-h) from any one starting point, whatever the shape of the peers'
// distribution (A. Wald, Sequential Analysis, 1947; E. S. Page, Continuous Inspection Schemes, Biometrika 41, 1954).
//
//   const auto baseline = Baseline::fromPeers(peerTimes, peerFailures, peerRequests);
//   sum = std::max(0.0f, sum + baseline->serviceTimeEvidence(bucket)); // one step of the CUSUM test
#pragma once

#include "health/ServiceTimeHistogram.h"

#include <optional>

namespace coriandergate::health {

// Baseline is a value of 16 bytes. All functions are safe from any thread on a const object.
struct Baseline {
    float medianBucket = 0; // median of the peers' service times, in buckets of ServiceTimeHistogram
    float spreadBuckets = 1; // half the distance between the quantiles 0.16 and 0.84, at least 1
    float evidenceOffsetNats = 0; // subtracted from the evidence of each service time
    float failureRate = 0; // of the peers, 0 to 1

    // fromPeers() computes a baseline from the peers' service times and outcomes; none if there are fewer than 20
    // service times.
    [[nodiscard]] static auto fromPeers(const ServiceTimeHistogram& peerTimes, float peerFailures, float peerRequests)
        -> std::optional<Baseline>;

    // serviceTimeEvidence() is the evidence, in nats, of one service time in `bucket`; negative if it is normal.
    [[nodiscard]] auto serviceTimeEvidence(std::size_t bucket) const -> float;

    // serviceTimeEvidence() is the sum of the evidence over a histogram.
    [[nodiscard]] auto serviceTimeEvidence(const ServiceTimeHistogram& times) const -> float;

    // inFlightEvidence() is the evidence, in nats, of requests still in flight, from the times they have taken so far.
    // It is never negative, and its bound per request is higher, because the final service times will be even longer.
    [[nodiscard]] auto inFlightEvidence(const ServiceTimeHistogram& inFlightTimes) const -> float;

    // failureEvidence() is the evidence, in nats, of one failure.
    [[nodiscard]] auto failureEvidence() const -> float;

    // successEvidence() is the evidence, in nats, of one success: never positive.
    [[nodiscard]] auto successEvidence() const -> float;

    friend auto operator==(const Baseline&, const Baseline&) -> bool = default;
};

} // namespace coriandergate::health
