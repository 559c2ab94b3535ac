// Totals of requests by time, for a bounded number of intervals.
//
//   TimeBuckets buckets(600);
//   buckets.at(12'345ms).add(end); // in the interval that begins at 12 s
//   buckets.width(); // 1 s, or more once the times span too much
#pragma once

#include "log/RequestTotals.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace coriandergate::log {

// TimeBuckets begins with intervals of a second. Each time that more than `capacity` are in use, their width doubles
// and neighbours are merged, so sums stay exact. Times may come in any order.
class TimeBuckets {
public:
    explicit TimeBuckets(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    // at() is the totals of the interval that holds `time`. References hold until the next call.
    auto at(std::chrono::milliseconds time) -> RequestTotals&;

    [[nodiscard]] auto width() const -> std::chrono::seconds { return m_width; }

    // rows() are the intervals in use, in order; those whose number times width() is their begin.
    [[nodiscard]] auto rows() const -> const std::map<std::int64_t, RequestTotals>& { return m_rows; }

private:
    [[nodiscard]] auto numberOf(std::chrono::milliseconds time) const -> std::int64_t;
    auto widen() -> void;

    std::size_t m_capacity;
    std::chrono::seconds m_width { 1 };
    std::map<std::int64_t, RequestTotals> m_rows;
    RequestTotals* m_last = nullptr; // lines of one moment stand together
    std::int64_t m_lastNumber = 0;
};

} // namespace coriandergate::log
