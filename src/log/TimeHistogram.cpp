#include "log/TimeHistogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace coriandergate::log {

using std::chrono::milliseconds;

namespace {

    constexpr std::uint32_t exactBuckets = 64; // 1 ms each
    constexpr std::uint32_t bucketsPerDoubling = exactBuckets / 2;
    constexpr std::int64_t longest = 0x7fffffff;

    auto bucketOf(std::uint32_t time) -> std::size_t
    {
        if (time < exactBuckets)
            return time;
        const auto shift = static_cast<std::uint32_t>(std::bit_width(time) - std::bit_width(exactBuckets - 1));
        return exactBuckets + (shift - 1) * bucketsPerDoubling + (time >> shift) - bucketsPerDoubling;
    }

    auto middleOf(std::size_t bucket) -> milliseconds
    {
        if (bucket < exactBuckets)
            return milliseconds(bucket);
        const auto shift = (bucket - exactBuckets) / bucketsPerDoubling + 1;
        const auto first = ((bucket - exactBuckets) % bucketsPerDoubling + bucketsPerDoubling) << shift;
        return milliseconds(first + (std::size_t(1) << shift) / 2);
    }

} // namespace

auto TimeHistogram::add(milliseconds time) -> void
{
    const auto clamped = std::clamp<std::int64_t>(time.count(), 0, longest);
    const auto bucket = bucketOf(static_cast<std::uint32_t>(clamped));
    if (bucket >= m_counts.size())
        m_counts.resize(bucket + 1);
    ++m_counts[bucket];
    ++m_count;
    m_totalMilliseconds += clamped;
}

auto TimeHistogram::merge(const TimeHistogram& other) -> void
{
    m_counts.resize(std::max(m_counts.size(), other.m_counts.size()));
    for (std::size_t bucket = 0; bucket < other.m_counts.size(); ++bucket)
        m_counts[bucket] += other.m_counts[bucket];
    m_count += other.m_count;
    m_totalMilliseconds += other.m_totalMilliseconds;
}

auto TimeHistogram::mean() const -> milliseconds
{
    return milliseconds(m_count == 0 ? 0 : m_totalMilliseconds / static_cast<std::int64_t>(m_count));
}

auto TimeHistogram::quantile(double fraction) const -> milliseconds
{
    const auto rank = std::max(1.0, std::ceil(fraction * static_cast<double>(m_count)));
    double seen = 0;
    for (std::size_t bucket = 0; bucket < m_counts.size(); ++bucket) {
        seen += m_counts[bucket];
        if (seen >= rank)
            return middleOf(bucket);
    }
    return milliseconds(0);
}

} // namespace coriandergate::log
