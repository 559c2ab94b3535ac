// Load-balancing policies: the one in production use, and two simple ones kept for comparison.
//
//   const auto candidate = pick(PowerOfTwoChoices(), set, {}, random, now);
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

// PowerOfTwoChoices picks the better of two random candidates, one of them from this daemon's data centre if that has
// any (M. Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, IEEE TPDS 12, 2001). The score is the
// expected response time: recent latency, times one plus the requests per slot, plus a penalty for distance.
struct PowerOfTwoChoices {
    std::chrono::microseconds dataCentrePenalty { 1000 }; // for another data centre of this daemon's region
    std::chrono::microseconds regionPenalty { 20000 }; // for another region
    float spilloverRequestsPerSlot = 2; // from this load on, other regions are considered; traffic to them costs money
    float lessPreferredPenaltyFactor = 4;
    std::chrono::milliseconds warmUp { 10000 }; // time until a new target gets its full share of requests
    float initialWarmUpShare = 0.1f; // share of requests at the start of the warm-up
};

// RoundRobin picks the candidates in turn.
struct RoundRobin {
    std::shared_ptr<std::atomic<std::uint64_t>> next = std::make_shared<std::atomic<std::uint64_t>>(0);
};

// LeastConnections picks the candidate with the fewest outstanding requests. Its cost is linear in the number of
// candidates.
struct LeastConnections { };

using Policy = std::variant<PowerOfTwoChoices, RoundRobin, LeastConnections>;

// pick() chooses from `set` by `policy` and never returns an address in `excludedAddresses`. PowerOfTwoChoices returns
// a candidate that can't serve (which may have changed since the set was built) only if it finds no other; the other
// policies skip unusable candidates. `random` is a fresh random number. Null when no candidate is left.
[[nodiscard]] auto pick(const Policy& policy, const CandidateSet& set,
    std::span<const std::string_view> excludedAddresses, std::uint64_t random, MonotonicTime now) -> CandidatePointer;

} // namespace coriandergate::balance
