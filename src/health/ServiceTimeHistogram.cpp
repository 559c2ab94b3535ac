#include "health/ServiceTimeHistogram.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdint>

namespace coriandergate::health {

namespace {
    constexpr std::uint64_t lowestMicroseconds = 64;
    constexpr int lowestOctave = std::bit_width(lowestMicroseconds) - 1;
    constexpr std::uint64_t halfOctaveNumerator = 46341; // the square root of two, times 2^15
    constexpr int halfOctaveShift = 15;
    // Far above the last bucket's lower bound, and low enough that halfOctaveNumerator << octave fits in 64 bits.
    constexpr std::uint64_t highestMicroseconds = std::uint64_t { 1 } << 40;
}

auto ServiceTimeHistogram::bucketOf(std::chrono::microseconds time) -> std::size_t
{
    if (time.count() < static_cast<std::int64_t>(lowestMicroseconds))
        return 0;
    const auto microseconds = std::min(static_cast<std::uint64_t>(time.count()), highestMicroseconds);
    const auto octave = std::bit_width(microseconds) - 1;
    const auto isUpperHalf = microseconds >= ((halfOctaveNumerator << octave) >> halfOctaveShift);
    const auto bucket = 1 + 2 * static_cast<std::size_t>(octave - lowestOctave) + (isUpperHalf ? 1 : 0);
    return std::min(bucket, s_bucketCount - 1);
}

auto ServiceTimeHistogram::addToBucket(std::size_t bucket, float weight) -> void
{
    m_counts[bucket] += weight;
    m_total += weight;
}

auto ServiceTimeHistogram::addScaled(const ServiceTimeHistogram& other, float factor) -> void
{
    for (std::size_t bucket = 0; bucket < s_bucketCount; ++bucket)
        m_counts[bucket] += other.m_counts[bucket] * factor;
    m_total += other.m_total * factor;
}

auto ServiceTimeHistogram::scale(float factor) -> void
{
    for (auto& count : m_counts)
        count *= factor;
    m_total *= factor;
}

auto ServiceTimeHistogram::quantile(double fraction) const -> std::chrono::microseconds
{
    if (m_total <= 0)
        return std::chrono::microseconds(0);
    const auto rank = fraction * m_total;
    auto sum = 0.0;
    std::size_t bucket = 0;
    for (; bucket + 1 < s_bucketCount; ++bucket) {
        sum += m_counts[bucket];
        if (sum >= rank)
            break;
    }
    const auto octaves = (static_cast<double>(bucket) - 0.5) / 2;
    return std::chrono::microseconds(std::llround(lowestMicroseconds * std::exp2(octaves)));
}

} // namespace coriandergate::health
