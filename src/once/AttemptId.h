// Names one attempt to have a once-only request run.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace coriandergate::once {

// AttemptId is drawn by the entry daemon: its incarnation, and a number that it never uses twice.
struct AttemptId {
    std::uint64_t entryIncarnation = 0;
    std::uint64_t number = 0;

    // clang-tidy takes the zero of a rewritten comparison for a null pointer. NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const AttemptId&, const AttemptId&) -> std::strong_ordering = default;
};

// AttemptIdHash lets an AttemptId be the key of an unordered map.
struct AttemptIdHash {
    auto operator()(const AttemptId& attempt) const -> std::size_t
    {
        constexpr std::uint64_t oddMultiplier = 0x9E3779B97F4A7C15;
        return static_cast<std::size_t>((attempt.entryIncarnation ^ attempt.number) * oddMultiplier);
    }
};

} // namespace coriandergate::once
