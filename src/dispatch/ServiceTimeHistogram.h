// A decaying histogram of a service's recent service times, in a fixed 0.5 KB.
//
//   ServiceTimeHistogram histogram;
//   histogram.record(12ms);
//   const auto tail = histogram.quantile(0.95);
//
// Each bucket's upper bound is 20% above the previous one, so a quantile is overestimated by at most 20%. All counts
// are halved each time they add up to 1024, so old samples lose weight. Not thread-safe: guarded by the owner's lock.
#pragma once

#include "base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace coriandergate::dispatch {

// ServiceTimeHistogram holds bucket counts, a moving average and a cached 95th percentile.
class ServiceTimeHistogram {
public:
    // record() adds a sample. Samples outside 50 microseconds to about half an hour count in the nearest bucket.
    auto record(MonotonicDuration serviceTime) -> void;

    // quantile() is the upper bound of the bucket that holds the quantile `fraction` (0 to 1); zero while empty.
    [[nodiscard]] auto quantile(double fraction) const -> MonotonicDuration;

    // p95() is quantile(0.95), updated at least every 16 samples. Constant time.
    [[nodiscard]] auto p95() const -> MonotonicDuration { return m_p95; }

    // mean() is the exponentially weighted moving average (weight 1/32 per sample); zero while empty.
    [[nodiscard]] auto mean() const -> MonotonicDuration { return m_mean; }

    // count() is the number of samples ever recorded.
    [[nodiscard]] auto count() const -> std::uint64_t { return m_count; }

private:
    static constexpr std::size_t s_bucketCount = 96;

    auto halveCounts() -> void;

    std::array<std::uint32_t, s_bucketCount> m_buckets {};
    std::uint64_t m_count = 0;
    std::uint32_t m_bucketTotal = 0; // sum of m_buckets
    MonotonicDuration m_mean = MonotonicDuration::zero();
    MonotonicDuration m_p95 = MonotonicDuration::zero();
};

} // namespace coriandergate::dispatch
