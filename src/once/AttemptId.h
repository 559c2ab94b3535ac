// Identifies one attempt to run an at-most-once request.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace coriandergate::once {

// AttemptId is assigned by the entry daemon, which received the request from the client: its incarnation, and a number
// that it never reuses.
struct AttemptId {
    std::uint64_t entryIncarnation = 0;
    std::uint64_t number = 0;

    // clang-tidy takes the zero of a rewritten comparison for a null pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const AttemptId&, const AttemptId&) -> std::strong_ordering = default;
};

// AttemptIdHash hashes an AttemptId for unordered containers.
struct AttemptIdHash {
    auto operator()(const AttemptId& attempt) const -> std::size_t
    {
        constexpr std::uint64_t goldenRatioMultiplier = 0x9E3779B97F4A7C15; // 2^64 divided by the golden ratio
        return static_cast<std::size_t>((attempt.entryIncarnation ^ attempt.number) * goldenRatioMultiplier);
    }
};

} // namespace coriandergate::once
