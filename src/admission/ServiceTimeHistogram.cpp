#include "admission/ServiceTimeHistogram.h"

#include <algorithm>
#include <cmath>

namespace coriandergate::admission {

namespace {

    using Microseconds = std::chrono::duration<double, std::micro>;

    constexpr Microseconds smallest { 50 };
    constexpr double bucketGrowth = 1.2;
    constexpr std::uint32_t fadeAfter = 1024; // records
    constexpr std::uint64_t refreshEvery = 16; // records
    constexpr int meanWeight = 32; // records

    auto bucketOf(MonotonicDuration serviceTime, std::size_t bucketCount) -> std::size_t
    {
        const auto ratio = Microseconds(serviceTime) / smallest;
        if (ratio <= 1)
            return 0;
        static const auto s_logOfGrowth = std::log2(bucketGrowth);
        return std::min(static_cast<std::size_t>(std::ceil(std::log2(ratio) / s_logOfGrowth)), bucketCount - 1);
    }

    auto upperBorder(std::size_t bucket) -> MonotonicDuration
    {
        const auto border = smallest * std::pow(bucketGrowth, static_cast<double>(bucket));
        return std::chrono::duration_cast<MonotonicDuration>(border);
    }

} // namespace

auto ServiceTimeHistogram::record(MonotonicDuration serviceTime) -> void
{
    ++m_buckets[bucketOf(serviceTime, s_bucketCount)];
    ++m_held;
    m_mean = m_count == 0 ? serviceTime : m_mean + (serviceTime - m_mean) / meanWeight;
    if (m_count % refreshEvery == 0 || m_count < refreshEvery)
        m_p95 = quantile(0.95);
    ++m_count;
    if (m_held >= fadeAfter)
        fade();
}

auto ServiceTimeHistogram::quantile(double fraction) const -> MonotonicDuration
{
    if (m_held == 0)
        return MonotonicDuration::zero();
    const auto wanted = std::clamp(fraction, 0.0, 1.0) * m_held;
    double seen = 0;
    for (std::size_t bucket = 0; bucket < s_bucketCount; ++bucket) {
        seen += m_buckets[bucket];
        if (seen >= wanted && m_buckets[bucket] > 0)
            return upperBorder(bucket);
    }
    return upperBorder(s_bucketCount - 1);
}

auto ServiceTimeHistogram::fade() -> void
{
    m_held = 0;
    for (auto& bucket : m_buckets) {
        bucket /= 2;
        m_held += bucket;
    }
}

} // namespace coriandergate::admission
