#include "health/Baseline.h"

#include <algorithm>
#include <cmath>

namespace coriandergate::health {

namespace {
    constexpr auto slowdownBuckets = 3.0f; // a factor of 2^(3/2), about 2.8
    constexpr auto maxServiceTimeEvidenceNats = 2.0f;
    constexpr auto maxInFlightEvidenceNats = 4.0f;
    constexpr auto minPeerServiceTimes = 20.0f;
    constexpr auto minSpreadBuckets = 1.0f;
    constexpr auto lowerQuantile = 0.16; // one standard deviation below the median of a normal distribution
    constexpr auto upperQuantile = 0.84; // one standard deviation above it
    constexpr auto minPeerFailureRate = 0.005f;
    constexpr auto maxPeerFailureRate = 0.45f; // above it, outcomes give no evidence
    constexpr auto minAlternativeFailureRate = 0.25f;
    constexpr auto failureRateIncreaseFactor = 4.0f;
    constexpr auto maxAlternativeFailureRate = 0.9f;
    constexpr auto priorSuccesses = 50.0f; // added to the peers' requests, so that a small sample gives a low rate

    // bucketQuantile() is the quantile `fraction` in buckets, interpolated within a bucket.
    auto bucketQuantile(const ServiceTimeHistogram& times, double fraction) -> float
    {
        const auto rank = static_cast<float>(fraction) * times.total();
        auto sum = 0.0f;
        for (std::size_t bucket = 0; bucket < ServiceTimeHistogram::s_bucketCount; ++bucket) {
            const auto count = times.count(bucket);
            if (count > 0 && sum + count >= rank)
                return static_cast<float>(bucket) - 0.5f + (rank - sum) / count;
            sum += count;
        }
        return static_cast<float>(ServiceTimeHistogram::s_bucketCount - 1);
    }

    // evidenceOffsetFor() is the offset with which the mean of exp(evidence) over `times` is at most one.
    auto evidenceOffsetFor(const Baseline& baseline, const ServiceTimeHistogram& times) -> float
    {
        auto mean = 0.0f;
        for (std::size_t bucket = 0; bucket < ServiceTimeHistogram::s_bucketCount; ++bucket)
            mean += times.count(bucket) / times.total() * std::exp(baseline.serviceTimeEvidence(bucket));
        return std::max(0.0f, std::log(mean));
    }

    // logLikelihoodRatio() is the log-likelihood ratio, in nats, of a service time in `bucket`: of the peers' normal
    // distribution over buckets shifted by slowdownBuckets, to the unshifted one.
    auto logLikelihoodRatio(const Baseline& baseline, std::size_t bucket) -> float
    {
        const auto distance = static_cast<float>(bucket) - baseline.medianBucket;
        return slowdownBuckets * (distance - slowdownBuckets / 2) / (baseline.spreadBuckets * baseline.spreadBuckets);
    }

    // alternativeFailureRate() is the failure rate of a faulty target that the peers' rate is tested against.
    auto alternativeFailureRate(float rate) -> float
    {
        return std::clamp(failureRateIncreaseFactor * rate, minAlternativeFailureRate, maxAlternativeFailureRate);
    }
}

auto Baseline::fromPeers(const ServiceTimeHistogram& peerTimes, float peerFailures, float peerRequests)
    -> std::optional<Baseline>
{
    if (peerTimes.total() < minPeerServiceTimes)
        return std::nullopt;
    Baseline baseline;
    baseline.medianBucket = bucketQuantile(peerTimes, 0.5);
    const auto width = bucketQuantile(peerTimes, upperQuantile) - bucketQuantile(peerTimes, lowerQuantile);
    baseline.spreadBuckets = std::max(minSpreadBuckets, width / 2);
    baseline.failureRate = std::max(minPeerFailureRate, peerFailures / (peerRequests + priorSuccesses));
    baseline.evidenceOffsetNats = evidenceOffsetFor(baseline, peerTimes);
    return baseline;
}

auto Baseline::serviceTimeEvidence(std::size_t bucket) const -> float
{
    return std::clamp(logLikelihoodRatio(*this, bucket), -maxServiceTimeEvidenceNats, maxServiceTimeEvidenceNats)
        - evidenceOffsetNats;
}

auto Baseline::serviceTimeEvidence(const ServiceTimeHistogram& times) const -> float
{
    auto sum = 0.0f;
    for (std::size_t bucket = 0; bucket < ServiceTimeHistogram::s_bucketCount; ++bucket)
        sum += times.count(bucket) * serviceTimeEvidence(bucket);
    return sum;
}

auto Baseline::inFlightEvidence(const ServiceTimeHistogram& inFlightTimes) const -> float
{
    auto sum = 0.0f;
    for (std::size_t bucket = 0; bucket < ServiceTimeHistogram::s_bucketCount; ++bucket)
        sum += inFlightTimes.count(bucket)
            * std::clamp(logLikelihoodRatio(*this, bucket), 0.0f, maxInFlightEvidenceNats);
    return sum;
}

auto Baseline::failureEvidence() const -> float
{
    // If nearly half of all requests fail at all peers, no single target is the cause.
    if (failureRate > maxPeerFailureRate)
        return 0;
    return std::log(alternativeFailureRate(failureRate) / failureRate);
}

auto Baseline::successEvidence() const -> float
{
    if (failureRate > maxPeerFailureRate)
        return 0;
    return std::log((1 - alternativeFailureRate(failureRate)) / (1 - failureRate));
}

} // namespace coriandergate::health
