// What the daemon beside a target tells the seat holder of the target's service.
//
// Reports go out when a target becomes suspicious, when the holder asks for them, and otherwise rarely. A report is
// also the request to grant or renew an ejection permit.
//
//   const auto text = toJson(report).dump();
//   Error reason;
//   const auto read = targetReportFromJson(nlohmann::json::parse(text), reason);
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
    std::uint64_t sequence = 0; // grows with every report of one observer
    int slots = 1;
    bool isSuspicious = false;
    bool isCold = false; // within its grace after a start: does not count as healthy capacity, is not judged
    bool isDraining = false;
    bool isUnreachable = false; // refuses connections on its own host
    bool isSelfReportedSick = false; // what its own health endpoint says
    bool holdsEjectionLease = false; // the daemon beside it keeps it out of service by a permit that is still valid
    ServiceTimeHistogram recentTimes; // the last two seconds, a reference for its peers
    OutcomeCounts recentOutcomes;
    ServiceTimeHistogram suspectTimes; // since the evidence against its service times began to grow
    ServiceTimeHistogram pendingTimes; // how long what is in flight has taken so far, one interval at least
    int suspectTimeIntervals = 0; // observation intervals for which there was evidence against its service times
    OutcomeCounts suspectOutcomes; // since the evidence against its outcomes began to grow
    int suspectOutcomeIntervals = 0; // observation intervals in suspectOutcomes

    // presentTimes() are the service times that stand for the target's present state, as a reference for its peers:
    // when the whole service slows, those since the slowdown began.
    [[nodiscard]] auto presentTimes() const -> const ServiceTimeHistogram&
    {
        return suspectTimes.total() > 0 ? suspectTimes : recentTimes;
    }

    // presentOutcomes() is the same for outcomes.
    [[nodiscard]] auto presentOutcomes() const -> const OutcomeCounts&
    {
        return suspectOutcomeIntervals > 0 ? suspectOutcomes : recentOutcomes;
    }
};

// toJson() writes `report` as one array of integers and two strings, sparse and without names, for the wire.
[[nodiscard]] auto toJson(const TargetReport& report) -> nlohmann::json;

// targetReportFromJson() reads what toJson() wrote; anything else is refused with a reason.
[[nodiscard]] auto targetReportFromJson(const nlohmann::json& value, Error& reason) -> std::optional<TargetReport>;

} // namespace coriandergate::health
