// Values by name for a bounded number of names; the least of them are merged into one further value.
//
//   BoundedTable<RequestTotals> accounts(1024);
//   accounts["member-1"].add(end);
//   for (const auto& row : accounts.sorted()) ...
//   accounts.rest(); // what was merged
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::log {

// BoundedTable holds at most twice `capacity` names. When they are more, the half with the least weight() is merged
// into rest(), so sums are exact; a name that comes back after that begins anew, so its own value may be too low.
template <typename Value> class BoundedTable {
public:
    struct Row {
        std::string_view name;
        const Value* value;
    };

    explicit BoundedTable(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    // operator[] finds the value of `name` or adds one. References hold until the next call.
    auto operator[](std::string_view name) -> Value&
    {
        if (const auto found = m_values.find(name); found != m_values.end())
            return found->second;
        if (m_values.size() >= 2 * m_capacity)
            mergeLeast();
        return m_values[std::string(name)];
    }

    [[nodiscard]] auto size() const -> std::size_t { return m_values.size(); }

    // rest() is the sum of all values that were merged, and merged() how often a name was.
    [[nodiscard]] auto rest() const -> const Value& { return m_rest; }
    [[nodiscard]] auto merged() const -> std::uint64_t { return m_merged; }

    // sorted() returns the values with the greatest weight first, of the same weight by name.
    [[nodiscard]] auto sorted() const -> std::vector<Row>
    {
        std::vector<Row> rows;
        rows.reserve(m_values.size());
        for (const auto& [name, value] : m_values)
            rows.push_back({ name, &value });
        std::sort(rows.begin(), rows.end(), [](const Row& left, const Row& right) {
            const auto leftWeight = left.value->weight();
            const auto rightWeight = right.value->weight();
            return leftWeight != rightWeight ? leftWeight > rightWeight : left.name < right.name;
        });
        return rows;
    }

private:
    auto mergeLeast() -> void
    {
        const auto rows = sorted();
        for (std::size_t i = m_capacity; i < rows.size(); ++i) {
            m_rest.merge(*rows[i].value);
            m_values.erase(m_values.find(rows[i].name));
            ++m_merged;
        }
    }

    std::size_t m_capacity;
    std::map<std::string, Value, std::less<>> m_values; // found by string_view without a copy
    Value m_rest;
    std::uint64_t m_merged = 0;
};

} // namespace coriandergate::log
