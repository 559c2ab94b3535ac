// Endings of attempts, counted by class.
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

    // add() counts one `outcome`.
    auto add(Outcome outcome) -> void { ++counts[static_cast<std::size_t>(outcome)]; }

    // add() adds the counts of `other`.
    auto add(const OutcomeCounts& other) -> void
    {
        for (std::size_t i = 0; i < outcomeCount; ++i)
            counts[i] += other.counts[i];
    }

    // of() is the count of `outcome`.
    [[nodiscard]] auto of(Outcome outcome) const -> std::uint32_t { return counts[static_cast<std::size_t>(outcome)]; }

    // failures() counts what speaks against the target.
    [[nodiscard]] auto failures() const -> std::uint32_t
    {
        std::uint32_t sum = 0;
        for (std::size_t i = 0; i < outcomeCount; ++i)
            sum += isFailure(static_cast<Outcome>(i)) ? counts[i] : 0;
        return sum;
    }

    // judged() counts what says anything about the target at all: successes and failures.
    [[nodiscard]] auto judged() const -> std::uint32_t { return of(Outcome::Success) + failures(); }

    friend auto operator==(const OutcomeCounts&, const OutcomeCounts&) -> bool = default;
};

} // namespace coriandergate::health
