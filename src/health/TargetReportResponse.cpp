#include "health/TargetReportResponse.h"

#include "base/Error.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace coriandergate::health {

namespace {
    constexpr std::size_t fieldCount = 7;
    constexpr auto fixedPoint = 1000.0f; // reals travel as thousandths
    constexpr std::int64_t maximumLifetime = 60'000; // milliseconds
    constexpr unsigned lessPreferredFlag = 1;
    constexpr unsigned readmittedFlag = 2;

    auto toFixed(float value) -> std::int64_t { return std::llround(value * fixedPoint); }

    auto fromFixed(const nlohmann::json& value) -> float
    {
        return static_cast<float>(value.get<std::int64_t>()) / fixedPoint;
    }

    auto baselineToJson(const std::optional<Baseline>& baseline) -> nlohmann::json
    {
        if (!baseline)
            return nlohmann::json::array();
        return nlohmann::json::array({ toFixed(baseline->centre), toFixed(baseline->spread), toFixed(baseline->shift),
            toFixed(baseline->failureRate) });
    }

    auto baselineFromJson(const nlohmann::json& value) -> std::optional<Baseline>
    {
        if (value.size() != 4)
            return std::nullopt;
        return Baseline { fromFixed(value[0]), std::max(1.0f, fromFixed(value[1])), std::max(0.0f, fromFixed(value[2])),
            std::clamp(fromFixed(value[3]), 0.001f, 1.0f) };
    }
}

auto toJson(const TargetReportResponse& answer) -> nlohmann::json
{
    const auto flags = (answer.isLessPreferred ? lessPreferredFlag : 0U) | (answer.isReadmitted ? readmittedFlag : 0U);
    return nlohmann::json::array({ answer.sequence, static_cast<int>(answer.verdict.decision),
        static_cast<int>(answer.verdict.cause), toFixed(answer.verdict.evidence),
        answer.leaseDuration ? answer.leaseDuration->count() : 0, flags, baselineToJson(answer.baseline) });
}

auto targetReportResponseFromJson(const nlohmann::json& value, Error& reason) -> std::optional<TargetReportResponse>
{
    if (!value.is_array() || value.size() != fieldCount) {
        reason = { "read answer to target report", "", "not an array of the expected length" };
        return std::nullopt;
    }
    try {
        TargetReportResponse answer;
        answer.sequence = value[0].get<std::uint64_t>();
        answer.verdict.decision
            = static_cast<Decision>(std::clamp(value[1].get<int>(), 0, static_cast<int>(Decision::Eject)));
        answer.verdict.cause
            = static_cast<Cause>(std::clamp(value[2].get<int>(), 0, static_cast<int>(Cause::Unreachable)));
        answer.verdict.evidence = fromFixed(value[3]);
        const auto lifetime = std::clamp<std::int64_t>(value[4].get<std::int64_t>(), 0, maximumLifetime);
        if (lifetime > 0)
            answer.leaseDuration = std::chrono::milliseconds(lifetime);
        const auto flags = value[5].get<unsigned>();
        answer.isLessPreferred = (flags & lessPreferredFlag) != 0;
        answer.isReadmitted = (flags & readmittedFlag) != 0;
        answer.baseline = baselineFromJson(value[6]);
        return answer;
    } catch (const nlohmann::json::exception& exception) {
        reason = { "read answer to target report", "", exception.what() };
        return std::nullopt;
    }
}

} // namespace coriandergate::health
