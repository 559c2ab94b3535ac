#include "log/RequestTrace.h"

#include <algorithm>
#include <charconv>

namespace coriandergate::log {

namespace {

    constexpr std::string_view requestField = " request=";
    constexpr std::string_view timeField = "time=";

    // The prefix that a log collector adds ends with the name of the process that wrote the line.
    auto lastWord(std::string_view prefix) -> std::string
    {
        while (!prefix.empty() && prefix.back() == ' ')
            prefix.remove_suffix(1);
        return std::string(prefix.substr(prefix.rfind(' ') + 1));
    }

} // namespace

auto RequestTrace::belongsToRequest(std::string_view line) const -> bool
{
    const auto at = line.find(requestField);
    if (at == std::string_view::npos)
        return false;
    const auto id = line.substr(at + requestField.size());
    if (!id.starts_with(m_requestId))
        return false;
    const auto suffix = id.substr(m_requestId.size());
    return suffix.empty() || suffix.front() == ' ' || suffix.front() == '.';
}

auto RequestTrace::add(std::string_view source, std::string_view line) -> void
{
    const auto at = line.find(timeField);
    if (at == std::string_view::npos || !belongsToRequest(line))
        return;
    const auto text = line.substr(at);
    Line entry { 0, at == 0 ? std::string(source) : lastWord(line.substr(0, at)), std::string(text) };
    const auto timestamp = text.substr(timeField.size());
    std::from_chars(timestamp.data(), timestamp.data() + timestamp.size(), entry.time);
    m_lines.push_back(std::move(entry));
}

auto RequestTrace::lines() const -> std::vector<Line>
{
    auto sorted = m_lines;
    std::stable_sort(
        sorted.begin(), sorted.end(), [](const Line& left, const Line& right) { return left.time < right.time; });
    return sorted;
}

} // namespace coriandergate::log
