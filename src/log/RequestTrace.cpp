#include "log/RequestTrace.h"

#include "log/LogLine.h"

#include <algorithm>
#include <charconv>

namespace coriandergate::log {

namespace {

    constexpr std::string_view requestField = " request=";
    constexpr std::string_view timeField = "time=";

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
    const auto position = LogLine::locate(line);
    if (!position || !belongsToRequest(line))
        return;
    const bool hasPrefix = position->text.size() < line.size();
    Line entry { 0, std::string(hasPrefix ? position->source : source), std::string(position->text) };
    const auto timestamp = position->text.substr(timeField.size());
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
