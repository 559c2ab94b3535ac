// The report that the daemon on a target's host sends to the leader of the target's service (the holder of the
// service's seat, see seat/SeatLease.h).
//
// Reports are sent when a target becomes suspicious, when the leader polls, and otherwise at long intervals. A report
// is also the request to grant or renew an ejection lease.
//
//   const auto text = toJson(report).dump();
//   Error reason;
//   const auto parsed = targetReportFromJson(nlohmann::json::parse(text), reason);
#pragma once

#include "health/OutcomeCounts.h"
#include "health/ServiceTimeHistogram.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace coriandergate {
struct Error;
}

namespace coriandergate::health {

// TargetReport is a value; see TargetObserver::report().
struct TargetReport {
    std::string service;
    std::string target; // address, host:port
    std::uint64_t sequence = 0; // increases with every report of one observer
    int slots = 1;
    bool isSuspicious = false;
    bool isCold = false; // in its grace period after a start: neither evaluated nor counted as healthy capacity
    bool isDraining = false;
    bool isUnreachable = false; // refuses connections on its own host
    bool isSelfReportedUnhealthy = false; // according to its own health endpoint
    bool holdsEjectionLease = false; // the daemon on its host holds a valid lease that keeps it ejected
    ServiceTimeHistogram recentServiceTimes; // of the last two seconds
    OutcomeCounts recentOutcomes; // of the last two seconds
    ServiceTimeHistogram serviceTimesSinceOnset; // since the evidence against its service times began to grow
    ServiceTimeHistogram inFlightTimes; // elapsed times of requests in flight for at least one interval
    int serviceTimeIntervalsSinceOnset = 0; // observation intervals with evidence against its service times
    OutcomeCounts outcomesSinceOnset; // since the evidence against its outcomes began to grow
    int outcomeIntervalsSinceOnset = 0; // observation intervals with evidence against its outcomes

    // referenceServiceTimes() are the service times that this target's peers are compared with: those since the onset
    // of evidence against this target if there are any, so that they include a slowdown of the whole service, or else
    // the recent ones.
    [[nodiscard]] auto referenceServiceTimes() const -> const ServiceTimeHistogram&
    {
        return serviceTimesSinceOnset.total() > 0 ? serviceTimesSinceOnset : recentServiceTimes;
    }

    // referenceOutcomes() are the outcomes that this target's peers are compared with, chosen likewise.
    [[nodiscard]] auto referenceOutcomes() const -> const OutcomeCounts&
    {
        return outcomeIntervalsSinceOnset > 0 ? outcomesSinceOnset : recentOutcomes;
    }
};

// toJson() encodes `report` for the wire as one array without field names; histograms omit empty buckets.
[[nodiscard]] auto toJson(const TargetReport& report) -> nlohmann::json;

// targetReportFromJson() parses the output of toJson(); anything else is refused with a reason.
[[nodiscard]] auto targetReportFromJson(const nlohmann::json& value, Error& reason) -> std::optional<TargetReport>;

} // namespace coriandergate::health
