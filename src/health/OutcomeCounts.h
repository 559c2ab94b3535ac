// Numbers of attempts by outcome.
//
//   counts.add(Outcome::Shed);
//   counts.failures(); // 1
#pragma once

#include "health/Outcome.h"

#include <array>
#include <cstdint>

namespace coriandergate::health {

// OutcomeCounts is a value. Not thread-safe.
struct OutcomeCounts {
    std::array<std::uint32_t, outcomeCount> counts {};

    // add() adds one attempt with `outcome`.
    auto add(Outcome outcome) -> void { ++counts[static_cast<std::size_t>(outcome)]; }

    // add() adds the counts of `other`.
    auto add(const OutcomeCounts& other) -> void
    {
        for (std::size_t i = 0; i < outcomeCount; ++i)
            counts[i] += other.counts[i];
    }

    // count() is the count of `outcome`.
    [[nodiscard]] auto count(Outcome outcome) const -> std::uint32_t
    {
        return counts[static_cast<std::size_t>(outcome)];
    }

    // failures() is the number of attempts for which isFailure() holds.
    [[nodiscard]] auto failures() const -> std::uint32_t
    {
        std::uint32_t sum = 0;
        for (std::size_t i = 0; i < outcomeCount; ++i)
            sum += isFailure(static_cast<Outcome>(i)) ? counts[i] : 0;
        return sum;
    }

    // successesAndFailures() is the number of attempts that are evidence for or against the target.
    [[nodiscard]] auto successesAndFailures() const -> std::uint32_t { return count(Outcome::Success) + failures(); }

    friend auto operator==(const OutcomeCounts&, const OutcomeCounts&) -> bool = default;
};

} // namespace coriandergate::health
