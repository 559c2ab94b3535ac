// One soak: a fleet of real daemons as processes, callers, and the faults of a plan, with every promise checked.
//
//   const auto report = runSoak({ .plan = { .seed = 7, .hosts = 6, .length = 20s } }, std::cout);
//   if (!report.violations.empty()) ...
#pragma once

#include "soak/Checker.h"
#include "soak/Plan.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace coriandergate::soak {

struct SoakOptions {
    PlanOptions plan;
    std::string daemonProgram; // path; if empty, the daemon of the same build
};

struct SoakReport {
    PlanOptions options;
    std::vector<std::string> faults; // each injected fault with its time
    std::vector<std::string> violations;
    Checker::Counts counts;
};

// runSoak() draws a plan, plays it and writes each fault to `log` as it is injected.
[[nodiscard]] auto runSoak(const SoakOptions& options, std::ostream& log) -> SoakReport;

// toText() and toJson() are the report for people and for programs.
[[nodiscard]] auto toText(const SoakReport& report) -> std::string;
[[nodiscard]] auto toJson(const SoakReport& report) -> std::string;

} // namespace coriandergate::soak
