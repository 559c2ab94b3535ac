#include "log/RequestTrace.h"

#include <algorithm>
#include <charconv>

namespace coriandergate::log {

namespace {

    constexpr std::string_view requestField = " request=";
    constexpr std::string_view timeField = "time=";

    // A prefix of a gathered log ends with the name of the process that wrote the line.
    auto lastWord(std::string_view prefix) -> std::string
    {
        while (!prefix.empty() && prefix.back() == ' ')
            prefix.remove_suffix(1);
        return std::string(prefix.substr(prefix.rfind(' ') + 1));
    }

} // namespace

auto RequestTrace::speaksOfRequest(std::string_view line) const -> bool
{
    const auto at = line.find(requestField);
    if (at == std::string_view::npos)
        return false;
    const auto id = line.substr(at + requestField.size());
    if (!id.starts_with(m_requestId))
        return false;
    const auto rest = id.substr(m_requestId.size());
    return rest.empty() || rest.front() == ' ' || rest.front() == '.';
}

auto RequestTrace::add(std::string_view source, std::string_view line) -> void
{
    const auto at = line.find(timeField);
    if (at == std::string_view::npos || !speaksOfRequest(line))
        return;
    const auto text = line.substr(at);
    Line kept { 0, at == 0 ? std::string(source) : lastWord(line.substr(0, at)), std::string(text) };
    const auto number = text.substr(timeField.size());
    std::from_chars(number.data(), number.data() + number.size(), kept.time);
    m_lines.push_back(std::move(kept));
}

auto RequestTrace::lines() const -> std::vector<Line>
{
    auto sorted = m_lines;
    std::stable_sort(
        sorted.begin(), sorted.end(), [](const Line& left, const Line& right) { return left.time < right.time; });
    return sorted;
}

} // namespace coriandergate::log
