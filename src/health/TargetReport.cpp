#include "health/TargetReport.h"

#include "base/Error.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace coriandergate::health {

namespace {
    constexpr std::size_t fieldCount = 12;
    constexpr std::uint32_t maxCount = 1'000'000;
    constexpr int maxSlots = 1024;

    enum Flag : unsigned {
        Suspicious = 1,
        Cold = 2,
        Draining = 4,
        Unreachable = 8,
        SelfReportedUnhealthy = 16,
        HoldsEjectionLease = 32,
    };

    auto flagsOf(const TargetReport& report) -> unsigned
    {
        return (report.isSuspicious ? Suspicious : 0U) | (report.isCold ? Cold : 0U)
            | (report.isDraining ? Draining : 0U) | (report.isUnreachable ? Unreachable : 0U)
            | (report.isSelfReportedUnhealthy ? SelfReportedUnhealthy : 0U)
            | (report.holdsEjectionLease ? HoldsEjectionLease : 0U);
    }

    auto applyFlags(TargetReport& report, unsigned flags) -> void
    {
        report.isSuspicious = (flags & Suspicious) != 0;
        report.isCold = (flags & Cold) != 0;
        report.isDraining = (flags & Draining) != 0;
        report.isUnreachable = (flags & Unreachable) != 0;
        report.isSelfReportedUnhealthy = (flags & SelfReportedUnhealthy) != 0;
        report.holdsEjectionLease = (flags & HoldsEjectionLease) != 0;
    }

    // histogramToJson() writes bucket, count, bucket, count, ... and omits empty buckets.
    auto histogramToJson(const ServiceTimeHistogram& times) -> nlohmann::json
    {
        auto value = nlohmann::json::array();
        for (std::size_t bucket = 0; bucket < ServiceTimeHistogram::s_bucketCount; ++bucket) {
            const auto count = std::lround(times.count(bucket));
            if (count <= 0)
                continue;
            value.push_back(bucket);
            value.push_back(count);
        }
        return value;
    }

    auto histogramFromJson(const nlohmann::json& value) -> ServiceTimeHistogram
    {
        ServiceTimeHistogram times;
        for (std::size_t i = 0; i + 1 < value.size(); i += 2) {
            const auto bucket = std::min(value[i].get<std::size_t>(), ServiceTimeHistogram::s_bucketCount - 1);
            times.addToBucket(bucket, static_cast<float>(std::min(value[i + 1].get<std::uint32_t>(), maxCount)));
        }
        return times;
    }

    auto outcomesFromJson(const nlohmann::json& value) -> OutcomeCounts
    {
        OutcomeCounts outcomes;
        for (std::size_t i = 0; i < std::min(value.size(), outcomeCount); ++i)
            outcomes.counts[i] = std::min(value[i].get<std::uint32_t>(), maxCount);
        return outcomes;
    }

    // outcomesToJson() omits the zeros at the end.
    auto outcomesToJson(const OutcomeCounts& outcomes) -> nlohmann::json
    {
        auto value = nlohmann::json::array();
        auto last = outcomeCount;
        while (last > 0 && outcomes.counts[last - 1] == 0)
            --last;
        for (std::size_t i = 0; i < last; ++i)
            value.push_back(outcomes.counts[i]);
        return value;
    }
}

auto toJson(const TargetReport& report) -> nlohmann::json
{
    return nlohmann::json::array({ report.service, report.target, report.sequence, report.slots, flagsOf(report),
        histogramToJson(report.recentServiceTimes), outcomesToJson(report.recentOutcomes),
        histogramToJson(report.serviceTimesSinceOnset), report.serviceTimeIntervalsSinceOnset,
        outcomesToJson(report.outcomesSinceOnset), report.outcomeIntervalsSinceOnset,
        histogramToJson(report.inFlightTimes) });
}

auto targetReportFromJson(const nlohmann::json& value, Error& reason) -> std::optional<TargetReport>
{
    if (!value.is_array() || value.size() != fieldCount) {
        reason = { "parse target report", "", "not an array of the expected length" };
        return std::nullopt;
    }
    try {
        TargetReport report;
        report.service = value[0].get<std::string>();
        report.target = value[1].get<std::string>();
        report.sequence = value[2].get<std::uint64_t>();
        report.slots = std::clamp(value[3].get<int>(), 1, maxSlots);
        applyFlags(report, value[4].get<unsigned>());
        report.recentServiceTimes = histogramFromJson(value[5]);
        report.recentOutcomes = outcomesFromJson(value[6]);
        report.serviceTimesSinceOnset = histogramFromJson(value[7]);
        report.serviceTimeIntervalsSinceOnset = std::max(0, value[8].get<int>());
        report.outcomesSinceOnset = outcomesFromJson(value[9]);
        report.outcomeIntervalsSinceOnset = std::max(0, value[10].get<int>());
        report.inFlightTimes = histogramFromJson(value[11]);
        return report;
    } catch (const nlohmann::json::exception& exception) {
        reason = { "parse target report", "", exception.what() };
        return std::nullopt;
    }
}

} // namespace coriandergate::health
