#include "log/ReasonCounts.h"

#include <algorithm>
#include <cstddef>

namespace coriandergate::log {

auto ReasonCounts::add(std::string_view reason, std::uint64_t count) -> void
{
    constexpr std::size_t maximumReasons = 48;
    constexpr std::string_view others = "other reasons";
    m_total += count;
    const auto find = [this](std::string_view name) {
        return std::find_if(m_rows.begin(), m_rows.end(), [name](const Row& row) { return row.reason == name; });
    };
    auto found = find(reason);
    if (found == m_rows.end() && m_rows.size() >= maximumReasons) {
        reason = others;
        found = find(reason);
    }
    if (found == m_rows.end())
        found = m_rows.insert(found, { std::string(reason), 0 });
    found->count += count;
}

auto ReasonCounts::merge(const ReasonCounts& other) -> void
{
    for (const auto& row : other.m_rows)
        add(row.reason, row.count);
}

auto ReasonCounts::sorted() const -> std::vector<Row>
{
    auto rows = m_rows;
    std::stable_sort(
        rows.begin(), rows.end(), [](const Row& left, const Row& right) { return left.count > right.count; });
    return rows;
}

} // namespace coriandergate::log
