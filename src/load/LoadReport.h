// Results of a load test: request latencies and the number of requests per outcome.
//
//   LoadReport report;
//   report.add(latency, "200 ran");
//   std::cout << report.toText();
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace coriandergate::load {

// LoadReport stores every latency, so that quantiles are exact.
class LoadReport {
public:
    // add() records a request that ended `latency` after it was sent. `outcome` is its HTTP status and outcome header,
    // or the step at which it failed.
    auto add(MonotonicDuration latency, const std::string& outcome) -> void;

    [[nodiscard]] auto requests() const -> std::uint64_t { return m_latenciesUs.size(); }

    // quantile() returns the latency that `fraction` (0 to 1) of the requests did not exceed, or zero if there are no
    // requests.
    [[nodiscard]] auto quantile(double fraction) const -> std::chrono::microseconds;

    // outcomeCounts() returns the number of requests per outcome.
    [[nodiscard]] auto outcomeCounts() const -> const std::map<std::string, std::uint64_t>& { return m_outcomeCounts; }

    // toText() returns a human-readable report, toJson() a machine-readable one and toSvg() a plot of latency by
    // quantile.
    [[nodiscard]] auto toText() const -> std::string;
    [[nodiscard]] auto toJson() const -> std::string;
    [[nodiscard]] auto toSvg() const -> std::string;

private:
    std::vector<std::int64_t> m_latenciesUs;
    std::map<std::string, std::uint64_t> m_outcomeCounts;
};

} // namespace coriandergate::load
