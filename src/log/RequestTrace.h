// Collects the log lines of a request and of the calls made while it ran from the logs of several daemons.
//
//   RequestTrace trace("9c41d07be2a35f68");
//   for (std::string line; std::getline(log, line);)
//       trace.add("rajkot-a-1", line);
//   for (const auto& line : trace.lines()) ...
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace coriandergate::log {

// RequestTrace is a value; used by one thread.
class RequestTrace {
public:
    struct Line {
        double time = 0; // of the line, in seconds since the Unix epoch
        std::string source; // process that wrote the line
        std::string text; // the line from "time=" on
    };

    explicit RequestTrace(std::string requestId)
        : m_requestId(std::move(requestId))
    {
    }

    // add() keeps `line` if its request ID is that of the request or of a call made by it ("id.call"). Text before
    // "time=" is treated as a prefix added by a log collector; its last word then replaces `source`.
    auto add(std::string_view source, std::string_view line) -> void;

    // lines() returns the collected lines, sorted by time.
    [[nodiscard]] auto lines() const -> std::vector<Line>;

private:
    [[nodiscard]] auto belongsToRequest(std::string_view line) const -> bool;

    std::string m_requestId;
    std::vector<Line> m_lines;
};

} // namespace coriandergate::log
