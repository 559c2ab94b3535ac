// Writes a summary of log lines for people and for machines.
//
//   std::cout << summaryText(summary, 10);
//   std::cout << summaryJson(summary, 10).dump();
#pragma once

#include <cstddef>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace coriandergate::log {

class LogSummary;

// summaryText() returns aligned tables with at most `rows` rows each, worst served first; the rest is summed.
[[nodiscard]] auto summaryText(const LogSummary& summary, std::size_t rows) -> std::string;

// summaryJson() returns the same as an object, and all intervals of time.
[[nodiscard]] auto summaryJson(const LogSummary& summary, std::size_t rows) -> nlohmann::json;

} // namespace coriandergate::log
