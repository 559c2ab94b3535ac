#include "log/TimeBuckets.h"

namespace coriandergate::log {

using std::chrono::milliseconds;

namespace {

    auto divideDown(std::int64_t value, std::int64_t divisor) -> std::int64_t
    {
        return value / divisor - (value % divisor < 0 ? 1 : 0);
    }

} // namespace

auto TimeBuckets::numberOf(milliseconds time) const -> std::int64_t
{
    return divideDown(time.count(), milliseconds(m_width).count());
}

auto TimeBuckets::widen() -> void
{
    std::map<std::int64_t, RequestTotals> wider;
    for (const auto& [number, totals] : m_rows)
        wider[divideDown(number, 2)].merge(totals);
    m_rows = std::move(wider);
    m_width *= 2;
}

auto TimeBuckets::at(milliseconds time) -> RequestTotals&
{
    auto number = numberOf(time);
    if (m_last && number == m_lastNumber)
        return *m_last;
    while (m_rows.size() >= m_capacity && m_rows.count(number) == 0) {
        widen();
        number = numberOf(time);
    }
    m_lastNumber = number;
    m_last = &m_rows[number];
    return *m_last;
}

} // namespace coriandergate::log
