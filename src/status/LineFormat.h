// The text of a status line, which operators set so that scripts written for another page still read it.
//
//   Error reason;
//   const auto format = LineFormat::parse("{route} {action} {age_ms}", "call,wait,retry", reason);
//   format->render(view, advice); // "quotas call 120"
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
    // parse() reads a template with the fields {route}, {action}, {targets}, {age_ms}, {reason} and {retry_after_s},
    // and the three words for call, wait and retry, separated by commas. Nothing, with a reason, for an unknown field
    // or for words that are empty or equal. Safe from any thread.
    [[nodiscard]] static auto parse(std::string_view lineTemplate, std::string_view words, Error& reason)
        -> std::optional<LineFormat>;

    // render() is one line without its end.
    [[nodiscard]] auto render(const RouteStatus& view, const Advice& advice) const -> std::string;

private:
    std::string m_template;
    std::array<std::string, 3> m_words;
};

} // namespace coriandergate::status
