// The recent distribution of a service's service times, in a fixed 0.5 KB.
//
//   ServiceTimeHistogram times;
//   times.record(12ms);
//   const auto tail = times.quantile(0.95);
//
// Buckets grow by a fifth, so that a quantile is at most 20% too high. Counts are halved every so often, which lets old
// behaviour fade. Not thread safe: the owner's lock guards it.
#pragma once

#include "base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace coriandergate::admission {

// ServiceTimeHistogram is a decaying histogram.
class ServiceTimeHistogram {
public:
    // record() adds one service time; values outside 50 microseconds to about half an hour count as the nearest.
    auto record(MonotonicDuration serviceTime) -> void;

    // quantile() is the upper border of the bucket that holds the quantile `fraction` (0 to 1); zero while empty.
    [[nodiscard]] auto quantile(double fraction) const -> MonotonicDuration;

    // p95() is quantile(0.95), at most 16 records old. Constant time.
    [[nodiscard]] auto p95() const -> MonotonicDuration { return m_p95; }

    // mean() is the exponentially weighted mean (weight 1/32 a record); zero while empty.
    [[nodiscard]] auto mean() const -> MonotonicDuration { return m_mean; }

    // count() is the number of records ever made.
    [[nodiscard]] auto count() const -> std::uint64_t { return m_count; }

private:
    static constexpr std::size_t s_bucketCount = 96;

    auto fade() -> void;

    std::array<std::uint32_t, s_bucketCount> m_buckets {};
    std::uint64_t m_count = 0;
    std::uint32_t m_held = 0; // sum of m_buckets
    MonotonicDuration m_mean = MonotonicDuration::zero();
    MonotonicDuration m_p95 = MonotonicDuration::zero();
};

} // namespace coriandergate::admission
