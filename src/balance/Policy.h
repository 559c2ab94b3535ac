// The ways to choose one candidate of a set: the one in use, and the naive ones kept for comparison.
#pragma once

#include "balance/CandidateSet.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <variant>

namespace coriandergate::balance {

// PowerOfTwoChoices takes the better of two random candidates, one of them from the own data centre where there is any
// (M. Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, IEEE TPDS 12, 2001). The score is the time
// an answer is expected to take: recent latency, times the load over the slots, plus the distance.
struct PowerOfTwoChoices {
    std::chrono::microseconds dataCentrePenalty { 1000 };
    std::chrono::microseconds regionPenalty { 20000 };
    float farLoad = 2; // requests a slot from which on other regions are considered, over the paid link
    float lessPreferredFactor = 4;
    std::chrono::milliseconds warmUp { 10000 }; // over which a new target's share grows to the full one
    float coldShare = 0.1f; // at the start of the warm-up
};

// RoundRobin takes one candidate after the other.
struct RoundRobin {
    std::shared_ptr<std::atomic<std::uint64_t>> next = std::make_shared<std::atomic<std::uint64_t>>(0);
};

// LeastConnections takes the candidate with the fewest requests of this daemon; its work grows with their number.
struct LeastConnections { };

using Policy = std::variant<PowerOfTwoChoices, RoundRobin, LeastConnections>;

// pick() chooses from `set` by `policy`, leaving out the addresses in `excluded` and candidates that became unusable
// since the set was built, unless there is nothing else. `random` is a fresh random number. Null when nothing is left.
[[nodiscard]] auto pick(const Policy& policy, const CandidateSet& set, std::span<const std::string_view> excluded,
    std::uint64_t random, MonotonicTime now) -> CandidatePointer;

} // namespace coriandergate::balance
