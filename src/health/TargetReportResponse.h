// The response of a service's leader to a report on one of the service's targets.
//
//   const auto text = toJson(response).dump();
//   Error reason;
//   const auto parsed = targetReportResponseFromJson(nlohmann::json::parse(text), reason);
#pragma once

#include "health/Baseline.h"
#include "health/Verdict.h"

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>

namespace coriandergate {
struct Error;
}

namespace coriandergate::health {

// TargetReportResponse is a value.
struct TargetReportResponse {
    std::uint64_t sequence = 0; // of the report
    Verdict verdict;
    // Set when an ejection lease is granted; counted from when the report was sent.
    std::optional<std::chrono::milliseconds> leaseDuration;
    bool isLessPreferred = false; // would be ejected if a lease could be granted
    bool isReadmitted = false; // the ejection has ended: return the target to service
    std::optional<Baseline> baseline;
};

// toJson() encodes `response` for the wire as one array of numbers.
[[nodiscard]] auto toJson(const TargetReportResponse& response) -> nlohmann::json;

// targetReportResponseFromJson() parses the output of toJson(); anything else is refused with a reason.
[[nodiscard]] auto targetReportResponseFromJson(const nlohmann::json& value, Error& reason)
    -> std::optional<TargetReportResponse>;

} // namespace coriandergate::health
