// A seeded trace of requests from several entries to the targets of one service, each entry with a real TargetChooser.
//
//   const auto result = runBalanceTrace({ .targets = 26, .grayTargets = 1, .policy = balance::PowerOfTwoChoices() });
#pragma once

#include "balance/Policy.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::testing {

struct BalanceTraceOptions {
    int targets = 26;
    int grayTargets = 0; // these take `slowdown` times as long, from the start
    double slowdown = 5;
    double utilisation = 0.5; // of all slots, if all targets were well
    int entries = 8;
    balance::Policy policy;
    std::chrono::seconds length { 12 }; // the first two of which are not counted
    std::uint64_t seed = 1;
};

struct BalanceTraceResult {
    std::chrono::microseconds p50 { 0 };
    std::chrono::microseconds p99 { 0 };
    double grayShare = 0; // of all requests, for one gray target
    double mostLoaded = 0; // share of the most loaded target, times the number of targets
};

// runBalanceTrace() is deterministic for its options, with a fresh `policy`.
[[nodiscard]] auto runBalanceTrace(const BalanceTraceOptions& options) -> BalanceTraceResult;

} // namespace coriandergate::testing
