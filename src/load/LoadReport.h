// What a load run measured.
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace coriandergate::load {

// LoadReport keeps each latency, so that its quantiles are exact.
class LoadReport {
public:
    // add() notes one request that was due at some time and ended `latency` later. `ending` is its status and outcome,
    // or the step at which it failed.
    auto add(MonotonicDuration latency, const std::string& ending) -> void;

    [[nodiscard]] auto requests() const -> std::uint64_t { return m_latencies.size(); }

    // quantile() is the latency that a share of `fraction` (0 to 1) of the requests did not exceed; zero without
    // requests.
    [[nodiscard]] auto quantile(double fraction) const -> std::chrono::microseconds;

    // outcomeCounts() is the number of requests by how they ended.
    [[nodiscard]] auto outcomeCounts() const -> const std::map<std::string, std::uint64_t>& { return m_endings; }

    // toText() is the report for people, toJson() for programs, toSvg() a plot of the latencies by quantile.
    [[nodiscard]] auto toText() const -> std::string;
    [[nodiscard]] auto toJson() const -> std::string;
    [[nodiscard]] auto toSvg() const -> std::string;

private:
    std::vector<std::int64_t> m_latencies; // microseconds
    std::map<std::string, std::uint64_t> m_endings;
};

} // namespace coriandergate::load
