// Decides when a slow idempotent request is also sent to a second target.
//
//   HedgePolicy hedging({});
//   if (auto wait = hedging.hedgeDelay("orders", route.repeatPolicy, deadline, now))
//       startTimer(*wait);                     // when it fires first: budget.tryConsumeToken(), then the second target
//   hedging.recordServiceTime("orders", took); // of each whole answer
//
// One request in twenty is slower than the 95th percentile, so hedges stay within half of the retry budget by
// themselves; the budget bounds them when the whole service slows. Thread safe: shards, each under its own lock.
#pragma once

#include "admission/Deadline.h"
#include "base/Mutex.h"
#include "config/Route.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace coriandergate::admission {

// HedgePolicy holds the recent service times of each service.
class HedgePolicy {
public:
    struct Options {
        bool isEnabled = true;
        std::uint64_t minimumSamples = 100; // service times seen before the first hedge
        MonotonicDuration minimumDelay = std::chrono::milliseconds(2);
    };

    explicit HedgePolicy(Options options);
    ~HedgePolicy();
    HedgePolicy(const HedgePolicy&) = delete;
    auto operator=(const HedgePolicy&) -> HedgePolicy& = delete;

    // recordServiceTime() counts the time from sending a request to its whole answer.
    auto recordServiceTime(std::string_view service, MonotonicDuration took) -> void;

    // hedgeDelay() is how long the first attempt is given; empty when the request must not be hedged: it is
    // once-only, too little is known, or the second attempt couldn't be answered by the deadline either.
    [[nodiscard]] auto hedgeDelay(std::string_view service, config::RepeatPolicy repeatPolicy, const Deadline& deadline,
        MonotonicTime now) const -> std::optional<MonotonicDuration>;

private:
    static constexpr std::size_t s_shardCount = 16;
    struct Shard;

    [[nodiscard]] auto shardOf(std::string_view service) const -> Shard&;

    Options m_options;
    std::array<std::unique_ptr<Shard>, s_shardCount> m_shards;
};

} // namespace coriandergate::admission
