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

    // Appends `text` to `result` with each {field} replaced by its value. Returns false if a brace is not closed or
    // `fieldValue` returns nothing for a field.
    auto expandTemplate(std::string_view text, std::string& result,
        const std::function<std::optional<std::string>(std::string_view)>& fieldValue) -> bool
    {
        while (!text.empty()) {
            const auto openBrace = text.find('{');
            result += text.substr(0, openBrace);
            if (openBrace == std::string_view::npos)
                return true;
            const auto closeBrace = text.find('}', openBrace);
            if (closeBrace == std::string_view::npos)
                return false;
            const auto value = fieldValue(text.substr(openBrace + 1, closeBrace - openBrace - 1));
            if (!value)
                return false;
            result += *value;
            text = text.substr(closeBrace + 1);
        }
        return true;
    }

    auto isFieldName(std::string_view name) -> bool
    {
        return std::find(fieldNames.begin(), fieldNames.end(), name) != fieldNames.end();
    }

} // namespace

auto LineFormat::parse(std::string_view lineTemplate, std::string_view actionWords, Error& reason)
    -> std::optional<LineFormat>
{
    LineFormat format;
    format.m_lineTemplate = lineTemplate;
    std::string expanded;
    const auto validateField = [](std::string_view name) -> std::optional<std::string> {
        return isFieldName(name) ? std::optional<std::string>("") : std::nullopt;
    };
    if (!expandTemplate(lineTemplate, expanded, validateField) || lineTemplate.find('\n') != std::string_view::npos) {
        reason = {
            "read status format", "",
            "the format must be one line; its fields are {route} {action} {targets} {age_ms} {reason} {retry_after_s}"
        };
        return std::nullopt;
    }
    std::size_t wordCount = 0;
    while (wordCount < format.m_actionWords.size()) {
        const auto comma = actionWords.find(',');
        format.m_actionWords[wordCount++] = actionWords.substr(0, comma);
        if (comma == std::string_view::npos)
            break;
        actionWords = actionWords.substr(comma + 1);
    }
    const auto& [call, wait, retry] = format.m_actionWords;
    if (wordCount != format.m_actionWords.size() || call.empty() || wait.empty() || retry.empty() || call == wait
        || call == retry || wait == retry) {
        reason = { "read status words", "", "expected three distinct, non-empty words, for call, wait and retry" };
        return std::nullopt;
    }
    return format;
}

auto LineFormat::render(const RouteStatus& status, const Advice& advice) const -> std::string
{
    std::string line;
    expandTemplate(m_lineTemplate, line, [&](std::string_view name) -> std::optional<std::string> {
        if (name == "route")
            return status.route;
        if (name == "action")
            return m_actionWords[static_cast<std::size_t>(advice.action)];
        if (name == "targets")
            return std::to_string(status.targetCount);
        if (name == "age_ms")
            return std::to_string(advice.age.count());
        if (name == "reason")
            return advice.reason;
        return std::to_string(std::chrono::ceil<std::chrono::seconds>(advice.retryAfter).count());
    });
    return line;
}

} // namespace coriandergate::status
