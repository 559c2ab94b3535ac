#include "health/Baseline.h"

#include <algorithm>
#include <cmath>

namespace coriandergate::health {

namespace {
    constexpr auto slowdownBuckets = 3.0f; // 2^(3/2), 2.8 times slower
    constexpr auto evidenceBound = 2.0f; // nats
    constexpr auto pendingBound = 4.0f; // nats
    constexpr auto minimumPeerTimes = 20.0f;
    constexpr auto minimumSpread = 1.0f; // buckets
    constexpr auto lowerTail = 0.16;
    constexpr auto upperTail = 0.84;
    constexpr auto minimumFailureRate = 0.005f;
    constexpr auto maximumFailureRate = 0.45f;
    constexpr auto minimumAlternativeRate = 0.25f;
    constexpr auto alternativeFactor = 4.0f;
    constexpr auto maximumAlternativeRate = 0.9f;
    constexpr auto priorRequests = 50.0f; // requests without a failure that every service is credited with

    // bucketQuantile() is quantile `fraction` on the scale of buckets, interpolated within a bucket.
    auto bucketQuantile(const ServiceTimeHistogram& times, double fraction) -> float
    {
        const auto wanted = static_cast<float>(fraction) * times.total();
        auto sum = 0.0f;
        for (std::size_t bucket = 0; bucket < ServiceTimeHistogram::s_bucketCount; ++bucket) {
            const auto count = times.count(bucket);
            if (count > 0 && sum + count >= wanted)
                return static_cast<float>(bucket) - 0.5f + (wanted - sum) / count;
            sum += count;
        }
        return static_cast<float>(ServiceTimeHistogram::s_bucketCount - 1);
    }

    // shiftFor() makes the mean of exp(evidence) over `times` one at most.
    auto shiftFor(const Baseline& baseline, const ServiceTimeHistogram& times) -> float
    {
        auto mean = 0.0f;
        for (std::size_t bucket = 0; bucket < ServiceTimeHistogram::s_bucketCount; ++bucket)
            mean += times.count(bucket) / times.total() * std::exp(baseline.timeEvidence(bucket));
        return std::max(0.0f, std::log(mean));
    }

    // ratioOf() is the logarithm of the ratio of two normal densities on the scale of buckets.
    auto ratioOf(const Baseline& baseline, std::size_t bucket) -> float
    {
        const auto distance = static_cast<float>(bucket) - baseline.centre;
        return slowdownBuckets * (distance - slowdownBuckets / 2) / (baseline.spread * baseline.spread);
    }

    auto alternativeRate(float rate) -> float
    {
        return std::clamp(alternativeFactor * rate, minimumAlternativeRate, maximumAlternativeRate);
    }
}

auto Baseline::of(const ServiceTimeHistogram& peerTimes, float peerFailures, float peerRequests)
    -> std::optional<Baseline>
{
    if (peerTimes.total() < minimumPeerTimes)
        return std::nullopt;
    Baseline baseline;
    baseline.centre = bucketQuantile(peerTimes, 0.5);
    const auto width = bucketQuantile(peerTimes, upperTail) - bucketQuantile(peerTimes, lowerTail);
    baseline.spread = std::max(minimumSpread, width / 2);
    baseline.failureRate = std::max(minimumFailureRate, peerFailures / (peerRequests + priorRequests));
    baseline.shift = shiftFor(baseline, peerTimes);
    return baseline;
}

auto Baseline::timeEvidence(std::size_t bucket) const -> float
{
    return std::clamp(ratioOf(*this, bucket), -evidenceBound, evidenceBound) - shift;
}

auto Baseline::timeEvidence(const ServiceTimeHistogram& times) const -> float
{
    auto sum = 0.0f;
    for (std::size_t bucket = 0; bucket < ServiceTimeHistogram::s_bucketCount; ++bucket)
        sum += times.count(bucket) * timeEvidence(bucket);
    return sum;
}

auto Baseline::pendingEvidence(const ServiceTimeHistogram& elapsed) const -> float
{
    auto sum = 0.0f;
    for (std::size_t bucket = 0; bucket < ServiceTimeHistogram::s_bucketCount; ++bucket)
        sum += elapsed.count(bucket) * std::clamp(ratioOf(*this, bucket), 0.0f, pendingBound);
    return sum;
}

auto Baseline::failureEvidence() const -> float
{
    // Where nearly half of all requests fail everywhere, no single target is to blame.
    if (failureRate > maximumFailureRate)
        return 0;
    return std::log(alternativeRate(failureRate) / failureRate);
}

auto Baseline::successEvidence() const -> float
{
    if (failureRate > maximumFailureRate)
        return 0;
    return std::log((1 - alternativeRate(failureRate)) / (1 - failureRate));
}

} // namespace coriandergate::health
