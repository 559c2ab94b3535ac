// One line of a daemon's log, taken apart into its fields.
//
//   const auto line = LogLine::parse("  -7.8 host-3 time=1.0 level=info event=CG1900 text=x request=abc");
//   line->event(); // 1900
//   line->field("request"); // "abc"
//   line->source(); // "host-3"
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace coriandergate::log {

// LogLine refers to the text that it was parsed from.
class LogLine {
public:
    // Position is a log line with the prefix that a log collector adds cut off.
    struct Position {
        std::string_view source; // last word of the prefix; empty without a prefix
        std::string_view text; // the line from "time=" on
    };

    // locate() finds the line behind its prefix; nullopt when there is no "time=".
    [[nodiscard]] static auto locate(std::string_view line) -> std::optional<Position>;

    // parse() returns nullopt when the line has no time, no event number, or a value without its closing quote. Fields
    // beyond the 32nd are ignored.
    [[nodiscard]] static auto parse(std::string_view line) -> std::optional<LogLine>;

    [[nodiscard]] auto source() const -> std::string_view { return m_source; }
    [[nodiscard]] auto time() const -> std::chrono::milliseconds { return m_time; } // since the Unix epoch
    [[nodiscard]] auto event() const -> int { return m_event; }

    [[nodiscard]] auto hasField(std::string_view name) const -> bool;

    // field() is the value of a field as it is written between its quotes; empty when there is no such field.
    [[nodiscard]] auto field(std::string_view name) const -> std::string_view;

    // number() is the value of a field that is a whole number, or `otherwise`.
    [[nodiscard]] auto number(std::string_view name, std::int64_t otherwise) const -> std::int64_t;

private:
    struct Field {
        std::string_view name;
        std::string_view value;
    };
    static constexpr std::size_t s_maximumFields = 32;

    // readFields() returns false when a value has no closing quote.
    auto readFields(std::string_view text) -> bool;

    std::string_view m_source;
    std::chrono::milliseconds m_time { 0 };
    int m_event = 0;
    std::array<Field, s_maximumFields> m_fields;
    std::size_t m_fieldCount = 0;
};

} // namespace coriandergate::log
