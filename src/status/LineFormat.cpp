#include "status/LineFormat.h"

#include "base/Error.h"
#include "status/Advice.h"
#include "status/RouteStatus.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace coriandergate::status {

namespace {

    constexpr std::array<std::string_view, 6> fieldNames { "route", "action", "targets", "age_ms", "reason",
        "retry_after_s" };

    // Copies `text` with each {field} replaced; false when `replace` knows a field not.
    auto expand(std::string_view text, std::string& result,
        const std::function<std::optional<std::string>(std::string_view)>& replace) -> bool
    {
        while (!text.empty()) {
            const auto open = text.find('{');
            result += text.substr(0, open);
            if (open == std::string_view::npos)
                return true;
            const auto close = text.find('}', open);
            if (close == std::string_view::npos)
                return false;
            const auto value = replace(text.substr(open + 1, close - open - 1));
            if (!value)
                return false;
            result += *value;
            text = text.substr(close + 1);
        }
        return true;
    }

    auto isFieldName(std::string_view name) -> bool
    {
        return std::find(fieldNames.begin(), fieldNames.end(), name) != fieldNames.end();
    }

} // namespace

auto LineFormat::parse(std::string_view lineTemplate, std::string_view words, Error& reason)
    -> std::optional<LineFormat>
{
    LineFormat format;
    format.m_template = lineTemplate;
    std::string unused;
    const auto check = [](std::string_view name) -> std::optional<std::string> {
        return isFieldName(name) ? std::optional<std::string>("") : std::nullopt;
    };
    if (!expand(lineTemplate, unused, check) || lineTemplate.find('\n') != std::string_view::npos) {
        reason = { "read status format", "",
            "known fields are {route} {action} {targets} {age_ms} {reason} {retry_after_s}, on one line" };
        return std::nullopt;
    }
    std::size_t count = 0;
    while (count < format.m_words.size()) {
        const auto comma = words.find(',');
        format.m_words[count++] = words.substr(0, comma);
        if (comma == std::string_view::npos)
            break;
        words = words.substr(comma + 1);
    }
    const auto& [call, wait, retry] = format.m_words;
    if (count != format.m_words.size() || call.empty() || wait.empty() || retry.empty() || call == wait || call == retry
        || wait == retry) {
        reason = { "read status words", "", "three different words are needed: for call, wait and retry" };
        return std::nullopt;
    }
    return format;
}

auto LineFormat::render(const RouteStatus& view, const Advice& advice) const -> std::string
{
    std::string line;
    expand(m_template, line, [&](std::string_view name) -> std::optional<std::string> {
        if (name == "route")
            return view.route;
        if (name == "action")
            return m_words[static_cast<std::size_t>(advice.action)];
        if (name == "targets")
            return std::to_string(view.targetCount);
        if (name == "age_ms")
            return std::to_string(advice.age.count());
        if (name == "reason")
            return advice.reason;
        return std::to_string(std::chrono::ceil<std::chrono::seconds>(advice.retryAfter).count());
    });
    return line;
}

} // namespace coriandergate::status
