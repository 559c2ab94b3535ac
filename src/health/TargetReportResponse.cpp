#include "health/TargetReportResponse.h"

#include "base/Error.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace coriandergate::health {

namespace {
    constexpr std::size_t fieldCount = 7;
    constexpr auto fixedPointScale = 1000.0f; // real numbers are sent as integers, in thousandths
    constexpr std::int64_t maxLeaseMilliseconds = 60'000;
    constexpr unsigned lessPreferredFlag = 1;
    constexpr unsigned readmittedFlag = 2;

    auto toFixed(float value) -> std::int64_t { return std::llround(value * fixedPointScale); }

    auto fromFixed(const nlohmann::json& value) -> float
    {
        return static_cast<float>(value.get<std::int64_t>()) / fixedPointScale;
    }

    auto baselineToJson(const std::optional<Baseline>& baseline) -> nlohmann::json
    {
        if (!baseline)
            return nlohmann::json::array();
        return nlohmann::json::array({ toFixed(baseline->medianBucket), toFixed(baseline->spreadBuckets),
            toFixed(baseline->evidenceOffsetNats), toFixed(baseline->failureRate) });
    }

    auto baselineFromJson(const nlohmann::json& value) -> std::optional<Baseline>
    {
        if (value.size() != 4)
            return std::nullopt;
        return Baseline { fromFixed(value[0]), std::max(1.0f, fromFixed(value[1])), std::max(0.0f, fromFixed(value[2])),
            std::clamp(fromFixed(value[3]), 0.001f, 1.0f) };
    }
}

auto toJson(const TargetReportResponse& response) -> nlohmann::json
{
    const auto flags
        = (response.isLessPreferred ? lessPreferredFlag : 0U) | (response.isReadmitted ? readmittedFlag : 0U);
    return nlohmann::json::array({ response.sequence, static_cast<int>(response.verdict.decision),
        static_cast<int>(response.verdict.cause), toFixed(response.verdict.evidence),
        response.leaseDuration ? response.leaseDuration->count() : 0, flags, baselineToJson(response.baseline) });
}

auto targetReportResponseFromJson(const nlohmann::json& value, Error& reason) -> std::optional<TargetReportResponse>
{
    if (!value.is_array() || value.size() != fieldCount) {
        reason = { "parse target report response", "", "not an array of the expected length" };
        return std::nullopt;
    }
    try {
        TargetReportResponse response;
        response.sequence = value[0].get<std::uint64_t>();
        response.verdict.decision
            = static_cast<Decision>(std::clamp(value[1].get<int>(), 0, static_cast<int>(Decision::Eject)));
        response.verdict.cause
            = static_cast<Cause>(std::clamp(value[2].get<int>(), 0, static_cast<int>(Cause::Unreachable)));
        response.verdict.evidence = fromFixed(value[3]);
        const auto leaseMilliseconds = std::clamp<std::int64_t>(value[4].get<std::int64_t>(), 0, maxLeaseMilliseconds);
        if (leaseMilliseconds > 0)
            response.leaseDuration = std::chrono::milliseconds(leaseMilliseconds);
        const auto flags = value[5].get<unsigned>();
        response.isLessPreferred = (flags & lessPreferredFlag) != 0;
        response.isReadmitted = (flags & readmittedFlag) != 0;
        response.baseline = baselineFromJson(value[6]);
        return response;
    } catch (const nlohmann::json::exception& exception) {
        reason = { "parse target report response", "", exception.what() };
        return std::nullopt;
    }
}

} // namespace coriandergate::health
