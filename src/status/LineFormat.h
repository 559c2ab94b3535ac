// The format of a line of the status page. It is configurable so that scripts written for another system's status page
// can parse the line unchanged.
//
//   Error reason;
//   const auto format = LineFormat::parse("{route} {action} {age_ms}", "call,wait,retry", reason);
//   format->render(routeStatus, advice); // "quotas call 120"
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate {
struct Error;
}

namespace coriandergate::status {

struct Advice;
struct RouteStatus;

// LineFormat is a value.
class LineFormat {
public:
    // parse() reads a line template with the fields {route}, {action}, {targets}, {age_ms}, {reason} and
    // {retry_after_s}, and the comma-separated words for call, wait and retry. It returns nothing and sets `reason` if
    // the template has an unknown field or a line break, or if one of the three words is missing, empty or equal to
    // another. Safe from any thread.
    [[nodiscard]] static auto parse(std::string_view lineTemplate, std::string_view actionWords, Error& reason)
        -> std::optional<LineFormat>;

    // render() returns one line without a line break.
    [[nodiscard]] auto render(const RouteStatus& status, const Advice& advice) const -> std::string;

private:
    std::string m_lineTemplate;
    std::array<std::string, 3> m_actionWords; // indexed by Action
};

} // namespace coriandergate::status
