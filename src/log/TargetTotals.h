// What reached one target and what became of it.
//
//   TargetTotals totals;
//   totals.arrivals += 1;
#pragma once

#include <cstdint>

namespace coriandergate::log {

struct TargetTotals {
    auto merge(const TargetTotals& other) -> void
    {
        arrivals += other.arrivals;
        rejections += other.rejections;
        failures += other.failures;
        cancelled += other.cancelled;
        slotRefusals += other.slotRefusals;
    }

    // weight() orders targets: those that cost the most attempts matter most.
    [[nodiscard]] auto weight() const -> double
    {
        constexpr double perLostAttempt = 1e6;
        return static_cast<double>(rejections + failures) * perLostAttempt
            + static_cast<double>(arrivals + slotRefusals);
    }

    std::uint64_t arrivals = 0;
    std::uint64_t rejections = 0; // by the target, not run
    std::uint64_t failures = 0; // may have run without a response, or a response of 500 and above
    std::uint64_t cancelled = 0; // ended by the caller or its deadline
    std::uint64_t slotRefusals = 0; // by the daemon beside it; it never saw these
};

} // namespace coriandergate::log
