// Counts by reason, for the few reasons that daemons give.
//
//   ReasonCounts refused;
//   refused.add("no slot in time");
//   refused.sorted().front().count; // 1
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::log {

// ReasonCounts is a value. From the 49th reason on all others are counted as "other reasons".
class ReasonCounts {
public:
    struct Row {
        std::string reason;
        std::uint64_t count = 0;
    };

    auto add(std::string_view reason, std::uint64_t count = 1) -> void;
    auto merge(const ReasonCounts& other) -> void;

    [[nodiscard]] auto total() const -> std::uint64_t { return m_total; }

    // sorted() returns the most frequent reasons first.
    [[nodiscard]] auto sorted() const -> std::vector<Row>;

private:
    std::vector<Row> m_rows;
    std::uint64_t m_total = 0;
};

} // namespace coriandergate::log
