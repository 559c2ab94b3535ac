// Finds the log lines of one request, and of the calls that were made while it ran, among the logs of several daemons.
//
//   RequestTrace story("9c41d07be2a35f68");
//   for (std::string line; std::getline(log, line);)
//       story.add("rajkot-a-1", line);
//   for (const auto& line : story.lines()) ...
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::log {

// RequestTrace is a value; used by one thread.
class RequestTrace {
public:
    struct Line {
        double time = 0; // seconds since 1970, as the line says
        std::string source; // the log that it comes from
        std::string text; // from "time=" on
    };

    explicit RequestTrace(std::string requestId)
        : m_requestId(std::move(requestId))
    {
    }

    // add() keeps `line` if it speaks of the request or of a call below it ("id.call"). What stands before "time=" is
    // taken for a prefix of whoever gathered the log.
    auto add(std::string_view source, std::string_view line) -> void;

    // lines() are the kept lines in the order of their time.
    [[nodiscard]] auto lines() const -> std::vector<Line>;

private:
    [[nodiscard]] auto speaksOfRequest(std::string_view line) const -> bool;

    std::string m_requestId;
    std::vector<Line> m_lines;
};

} // namespace coriandergate::log
