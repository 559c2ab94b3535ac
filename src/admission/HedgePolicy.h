// Decides when a hedge is sent: a second attempt of a slow idempotent request, to another target.
//
//   HedgePolicy hedging({});
//   if (auto delay = hedging.hedgeDelay("orders", route.repeatPolicy, deadline, now))
//       startTimer(*delay); // if it fires before the response: budget.tryConsumeToken(), then send the hedge
//   hedging.recordServiceTime("orders", serviceTime); // after each complete response
//
// The delay is the 95th percentile of the service's times, so about one request in twenty is hedged: half of what the
// default retry budget allows. The budget bounds hedges when the whole service slows down. Safe from any thread:
// services are spread over shards, each under its own lock.
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

// HedgePolicy keeps a histogram of recent service times per service.
class HedgePolicy {
public:
    struct Options {
        bool isEnabled = true;
        std::uint64_t minimumSamples = 100; // service times recorded before the first hedge
        MonotonicDuration minimumDelay = std::chrono::milliseconds(2);
    };

    explicit HedgePolicy(Options options);
    ~HedgePolicy();
    HedgePolicy(const HedgePolicy&) = delete;
    auto operator=(const HedgePolicy&) -> HedgePolicy& = delete;

    // recordServiceTime() records the time from sending a request to its complete response.
    auto recordServiceTime(std::string_view service, MonotonicDuration serviceTime) -> void;

    // hedgeDelay() is how long to wait for the first attempt before sending a hedge. Empty when the request must not be
    // hedged: hedging is disabled, the request is not idempotent, fewer than minimumSamples service times are known, or
    // the hedge could not complete by the deadline either.
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
