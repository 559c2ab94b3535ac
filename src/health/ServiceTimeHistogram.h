// A histogram of service times with half-octave buckets from 64 microseconds to 33 seconds.
//
// Bucket numbers are proportional to the logarithm of the time, two buckets for each doubling. So a target that is k
// times slower than its peers has the same histogram, shifted by 2*log2(k) buckets. Used to compare the times of
// targets and of network paths; dispatch::ServiceTimeHistogram estimates the times of coming requests.
//
//   ServiceTimeHistogram histogram;
//   histogram.add(std::chrono::milliseconds(4));
//   histogram.total(); // 1
#pragma once

#include <array>
#include <chrono>
#include <cstddef>

namespace coriandergate::health {

// ServiceTimeHistogram is a value. Counts are floating-point because they are scaled down with age. Not thread-safe.
class ServiceTimeHistogram {
public:
    static constexpr std::size_t s_bucketCount = 40;

    // bucketOf() is the bucket of `time`; times outside the range fall into the first or the last bucket.
    [[nodiscard]] static auto bucketOf(std::chrono::microseconds time) -> std::size_t;

    // add() adds `weight` observations of `time`.
    auto add(std::chrono::microseconds time, float weight = 1) -> void { addToBucket(bucketOf(time), weight); }

    // addToBucket() adds `weight` observations to `bucket`, which must be below s_bucketCount.
    auto addToBucket(std::size_t bucket, float weight) -> void;

    // addScaled() adds the counts of `other` multiplied by `factor`.
    auto addScaled(const ServiceTimeHistogram& other, float factor) -> void;

    // scale() multiplies every count by `factor`.
    auto scale(float factor) -> void;

    // clear() sets all counts to zero.
    auto clear() -> void { *this = {}; }

    // total() is the sum of all counts.
    [[nodiscard]] auto total() const -> float { return m_total; }

    // count() is the count of `bucket`.
    [[nodiscard]] auto count(std::size_t bucket) const -> float { return m_counts[bucket]; }

    // quantile() is the middle of the bucket that contains the quantile `fraction` (0 to 1); zero when empty.
    [[nodiscard]] auto quantile(double fraction) const -> std::chrono::microseconds;

private:
    std::array<float, s_bucketCount> m_counts {};
    float m_total = 0;
};

} // namespace coriandergate::health
