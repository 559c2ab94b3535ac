#include "dispatch/ServiceTimeHistogram.h"

#include <algorithm>
#include <cmath>

namespace coriandergate::dispatch {

namespace {

    using Microseconds = std::chrono::duration<double, std::micro>;

    constexpr Microseconds firstUpperBound { 50 };
    constexpr double bucketGrowthFactor = 1.2;
    constexpr std::uint32_t decayThresholdSamples = 1024;
    constexpr std::uint64_t p95RefreshSamples = 16;
    constexpr int meanDivisor = 32; // a new sample moves the mean by 1/32 of the difference

    auto bucketOf(MonotonicDuration serviceTime, std::size_t bucketCount) -> std::size_t
    {
        const auto ratio = Microseconds(serviceTime) / firstUpperBound;
        if (ratio <= 1)
            return 0;
        static const auto s_log2OfGrowthFactor = std::log2(bucketGrowthFactor);
        return std::min(static_cast<std::size_t>(std::ceil(std::log2(ratio) / s_log2OfGrowthFactor)), bucketCount - 1);
    }

    auto bucketUpperBound(std::size_t bucket) -> MonotonicDuration
    {
        const auto upperBound = firstUpperBound * std::pow(bucketGrowthFactor, static_cast<double>(bucket));
        return std::chrono::duration_cast<MonotonicDuration>(upperBound);
    }

} // namespace

auto ServiceTimeHistogram::record(MonotonicDuration serviceTime) -> void
{
    ++m_buckets[bucketOf(serviceTime, s_bucketCount)];
    ++m_bucketTotal;
    m_mean = m_count == 0 ? serviceTime : m_mean + (serviceTime - m_mean) / meanDivisor;
    if (m_count % p95RefreshSamples == 0 || m_count < p95RefreshSamples)
        m_p95 = quantile(0.95);
    ++m_count;
    if (m_bucketTotal >= decayThresholdSamples)
        halveCounts();
}

auto ServiceTimeHistogram::quantile(double fraction) const -> MonotonicDuration
{
    if (m_bucketTotal == 0)
        return MonotonicDuration::zero();
    const auto requiredCount = std::clamp(fraction, 0.0, 1.0) * m_bucketTotal;
    double cumulativeCount = 0;
    for (std::size_t bucket = 0; bucket < s_bucketCount; ++bucket) {
        cumulativeCount += m_buckets[bucket];
        if (cumulativeCount >= requiredCount && m_buckets[bucket] > 0)
            return bucketUpperBound(bucket);
    }
    return bucketUpperBound(s_bucketCount - 1);
}

auto ServiceTimeHistogram::halveCounts() -> void
{
    m_bucketTotal = 0;
    for (auto& bucket : m_buckets) {
        bucket /= 2;
        m_bucketTotal += bucket;
    }
}

} // namespace coriandergate::dispatch
