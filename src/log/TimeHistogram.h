// Counts durations from 0 ms to 24 days for mean and quantiles, in at most 3.5 KB.
//
//   TimeHistogram times;
//   times.add(250ms);
//   times.quantile(0.95); // 250 ms, give or take 2%
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace coriandergate::log {

// TimeHistogram is a value. Durations below 64 ms are counted exactly, longer ones in buckets whose width is at most a
// 32nd of their time; the mean is exact.
class TimeHistogram {
public:
    // add() counts one duration; one outside the range counts in the first or the last bucket.
    auto add(std::chrono::milliseconds time) -> void;

    auto merge(const TimeHistogram& other) -> void;

    [[nodiscard]] auto count() const -> std::uint64_t { return m_count; }

    // mean() and quantile(), for a `fraction` from 0 to 1, are 0 when nothing was counted.
    [[nodiscard]] auto mean() const -> std::chrono::milliseconds;
    [[nodiscard]] auto quantile(double fraction) const -> std::chrono::milliseconds;

private:
    std::vector<std::uint32_t> m_counts; // up to the longest duration that was counted
    std::uint64_t m_count = 0;
    std::int64_t m_totalMilliseconds = 0;
};

} // namespace coriandergate::log
