// A seeded run of one target under more load than it can carry, over the real SlotTable or a plain bounded FIFO queue.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace coriandergate::testing {

// OverloadAccount asks for `share` of the offered load.
struct OverloadAccount {
    double share = 0;
};

struct OverloadOptions {
    std::uint64_t seed = 1;
    unsigned slots = 7;
    std::chrono::microseconds meanServiceTime { 10'000 };
    double serviceSpread = 0.5; // sigma of the log-normal service times
    std::chrono::milliseconds deadline { 300 };
    double load = 2; // offered, in capacities
    std::chrono::seconds length { 30 };
    std::vector<OverloadAccount> accounts;
    bool isNaive = false; // FIFO of 512, no regard to accounts or deadlines
};

struct OverloadResult {
    double goodput = 0; // answered by the deadline, in capacities
    double worstShare = 0; // least answered of any account, in its max-min fair share of the capacity
    unsigned highestConcurrency = 0;
    std::uint64_t late = 0; // run, but answered after the deadline
    std::uint64_t refused = 0; // not run
};

// runOverload() is the same for the same options.
auto runOverload(const OverloadOptions& options) -> OverloadResult;

// fewLargeAccounts() are eight accounts, two of which make nine tenths of the load.
auto fewLargeAccounts() -> std::vector<OverloadAccount>;

} // namespace coriandergate::testing
