// What the seat holder of a service answers to a report on one of its targets.
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

// TargetReportResponse is a value; `sequence` is that of the report it answers.
struct TargetReportResponse {
    std::uint64_t sequence = 0;
    Verdict verdict;
    std::optional<std::chrono::milliseconds> leaseDuration; // counted from the sending of the report
    bool isLessPreferred = false; // would be ejected if the floor allowed it
    bool isReadmitted = false; // the permit is not renewed because its time is over: put the target back
    std::optional<Baseline> baseline;
};

// toJson() writes `answer` as one array of numbers for the wire.
[[nodiscard]] auto toJson(const TargetReportResponse& answer) -> nlohmann::json;

// targetReportResponseFromJson() reads what toJson() wrote; anything else is refused with a reason.
[[nodiscard]] auto targetReportResponseFromJson(const nlohmann::json& value, Error& reason)
    -> std::optional<TargetReportResponse>;

} // namespace coriandergate::health
