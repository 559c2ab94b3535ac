// What is normal for the targets of one service at present, and how strongly one observation speaks against it.
//
// A Baseline is made by the seat holder from the peers of a target and sent to the daemons beside the targets, four
// small numbers a service. Evidence is a log-likelihood ratio, in nats: service times compare "drawn as the peers' are"
// with "drawn as the peers' are, but 2.8 times slower" on a logarithmic scale; outcomes compare the peers' rate of
// failures with a clearly higher one.
//
// The evidence of a service time is bounded, and it is shifted so that the mean of exp(evidence) over the peers' own
// observations is at most one. By Wald's inequality a sum of such evidence then reaches h on a healthy target with a
// probability of at most exp(-h) from any one starting point, whatever the shape of the peers' distribution
// (A. Wald, Sequential Analysis, 1947; E. S. Page, Continuous Inspection Schemes, Biometrika 41, 1954).
//
//   const auto baseline = Baseline::of(peerTimes, peerFailures, peerRequests);
//   sum = std::max(0.0f, sum + baseline->timeEvidence(bucket)); // one step of the CUSUM test
#pragma once

#include "health/ServiceTimeHistogram.h"

#include <optional>

namespace coriandergate::health {

// Baseline is a value of at most 20 bytes. All functions are safe from any thread on a const object.
struct Baseline {
    float centre = 0; // median of the peers' service times, in buckets of ServiceTimeHistogram
    float spread = 1; // half the distance between the quantiles 0.16 and 0.84, in buckets, one at least
    float shift = 0; // taken from each evidence of a service time, nats
    float failureRate = 0; // the peers' share of failures, 0 to 1

    // of() makes a baseline from the peers' service times and outcomes; none when there are fewer than 20 service
    // times.
    [[nodiscard]] static auto of(const ServiceTimeHistogram& peerTimes, float peerFailures, float peerRequests)
        -> std::optional<Baseline>;

    // timeEvidence() is the evidence, in nats, of one service time in `bucket`; negative speaks for the target.
    [[nodiscard]] auto timeEvidence(std::size_t bucket) const -> float;

    // timeEvidence() is the sum over a histogram.
    [[nodiscard]] auto timeEvidence(const ServiceTimeHistogram& times) const -> float;

    // pendingEvidence() is the evidence of requests that have been in flight for as long as `elapsed` says: never
    // negative, and with a higher bound, as nothing is known yet but that they take even longer.
    [[nodiscard]] auto pendingEvidence(const ServiceTimeHistogram& elapsed) const -> float;

    // failureEvidence() is the evidence, in nats, of one failure.
    [[nodiscard]] auto failureEvidence() const -> float;

    // successEvidence() is the evidence, in nats, of one success: never positive.
    [[nodiscard]] auto successEvidence() const -> float;

    friend auto operator==(const Baseline&, const Baseline&) -> bool = default;
};

} // namespace coriandergate::health
