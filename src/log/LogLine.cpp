#include "log/LogLine.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace coriandergate::log {

namespace {

    constexpr std::string_view timeField = "time=";

    auto lastWord(std::string_view prefix) -> std::string_view
    {
        while (!prefix.empty() && prefix.back() == ' ')
            prefix.remove_suffix(1);
        return prefix.substr(prefix.rfind(' ') + 1);
    }

    auto parseTime(std::string_view text) -> std::optional<std::chrono::milliseconds>
    {
        constexpr double latest = 1e11; // in seconds; far beyond what a clock shows
        double seconds = 0;
        const auto result = std::from_chars(text.data(), text.data() + text.size(), seconds);
        if (result.ec != std::errc() || !(std::abs(seconds) < latest))
            return std::nullopt;
        return std::chrono::milliseconds(std::llround(seconds * 1000));
    }

    // Returns the place of the quote that ends a value, of which `text` begins behind the first quote.
    auto findClosingQuote(std::string_view text) -> std::size_t
    {
        auto at = text.find('"');
        if (at == std::string_view::npos || at == 0 || text[at - 1] != '\\')
            return at;
        for (at = 0; at < text.size() && text[at] != '"'; ++at)
            at += text[at] == '\\' ? 1 : 0;
        return at < text.size() ? at : std::string_view::npos;
    }

} // namespace

auto LogLine::locate(std::string_view line) -> std::optional<Position>
{
    const auto at = line.find(timeField);
    if (at == std::string_view::npos)
        return std::nullopt;
    return Position { lastWord(line.substr(0, at)), line.substr(at) };
}

auto LogLine::readFields(std::string_view text) -> bool
{
    while (!text.empty() && m_fieldCount < s_maximumFields) {
        const auto equals = text.find('=');
        if (equals == std::string_view::npos)
            return true;
        auto& field = m_fields[m_fieldCount++];
        field.name = text.substr(0, equals);
        text.remove_prefix(equals + 1);
        if (text.starts_with('"')) {
            const auto end = findClosingQuote(text.substr(1));
            if (end == std::string_view::npos)
                return false;
            field.value = text.substr(1, end);
            text.remove_prefix(end + 2);
        } else {
            field.value = text.substr(0, text.find(' '));
            text.remove_prefix(field.value.size());
        }
        text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    }
    return true;
}

auto LogLine::parse(std::string_view line) -> std::optional<LogLine>
{
    while (line.ends_with('\r') || line.ends_with('\n'))
        line.remove_suffix(1);
    const auto position = locate(line);
    if (!position)
        return std::nullopt;
    LogLine parsed;
    parsed.m_source = position->source;
    if (!parsed.readFields(position->text))
        return std::nullopt;
    const auto time = parseTime(parsed.field("time"));
    const auto event = parsed.field("event");
    if (!time || !event.starts_with("CG"))
        return std::nullopt;
    const auto result = std::from_chars(event.data() + 2, event.data() + event.size(), parsed.m_event);
    if (result.ec != std::errc() || result.ptr != event.data() + event.size())
        return std::nullopt;
    parsed.m_time = *time;
    return parsed;
}

auto LogLine::field(std::string_view name) const -> std::string_view
{
    const auto* const end = m_fields.begin() + m_fieldCount;
    const auto* const found
        = std::find_if(m_fields.begin(), end, [name](const Field& field) { return field.name == name; });
    return found == end ? std::string_view() : found->value;
}

auto LogLine::hasField(std::string_view name) const -> bool { return field(name).data() != nullptr; }

auto LogLine::number(std::string_view name, std::int64_t otherwise) const -> std::int64_t
{
    const auto text = field(name);
    std::int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() ? value : otherwise;
}

} // namespace coriandergate::log
