// Service times counted in half-octave buckets from 64 microseconds to 33 seconds.
//
// The number of a bucket is, but for rounding, twice the binary logarithm of the time, so that a target which is k
// times slower than its peers shows the same histogram moved by 2*log2(k) buckets. Use it wherever service times are
// compared.
//
//   ServiceTimeHistogram histogram;
//   histogram.add(std::chrono::milliseconds(4));
//   histogram.total(); // 1
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace coriandergate::health {

// ServiceTimeHistogram is a value. Counts are real numbers because references fade with age. Not thread-safe.
class ServiceTimeHistogram {
public:
    static constexpr std::size_t s_bucketCount = 40;

    // bucketOf() is the bucket of `time`; times outside the range fall into the first or the last one.
    [[nodiscard]] static auto bucketOf(std::chrono::microseconds time) -> std::size_t;

    // add() counts `weight` observations of `time`.
    auto add(std::chrono::microseconds time, float weight = 1) -> void { addToBucket(bucketOf(time), weight); }

    // addToBucket() counts `weight` observations in `bucket`, which must be below s_bucketCount.
    auto addToBucket(std::size_t bucket, float weight) -> void;

    // addScaled() adds every count of `other`, times `factor`.
    auto addScaled(const ServiceTimeHistogram& other, float factor) -> void;

    // scale() multiplies every count by `factor`.
    auto scale(float factor) -> void;

    // clear() forgets everything.
    auto clear() -> void { *this = {}; }

    // total() is the sum of all counts.
    [[nodiscard]] auto total() const -> float { return m_total; }

    // count() is the count of `bucket`.
    [[nodiscard]] auto count(std::size_t bucket) const -> float { return m_counts[bucket]; }

    // quantile() is the middle of the bucket below which `fraction` (0 to 1) of the counts lie; zero when empty.
    [[nodiscard]] auto quantile(double fraction) const -> std::chrono::microseconds;

private:
    std::array<float, s_bucketCount> m_counts {};
    float m_total = 0;
};

} // namespace coriandergate::health
