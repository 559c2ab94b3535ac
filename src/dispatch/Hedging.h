// Decides when a repeatable request that runs for long gets a second attempt at another target, before the first one
// has ended (a hedged request), and how many do.
//
// A second attempt starts once the first one is among the slowest tenth of its route, but not before the last moment at
// which a second one usually still meets the target latency. Each entry may send a fixed share of its requests to a
// service as second attempts, and none while the service is busy, so that slow targets don't get more load.
//
// Load patterns: long tails; single targets that slow down or stall; a whole service that slows down, where second
// attempts would only add load.
//
//   Hedging hedging({ .limit = 0.05 });
//   hedging.recordRequest("ledger");
//   if (const auto delay = hedging.delay({ .route = "sheets", .targetLatencyLeft = 900ms, .timeLeft = 3s })) ...
//   if (hedging.tryAcquire("ledger", meanUtilization)) ...
#pragma once

#include "dispatch/ServiceTimeHistogram.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::dispatch {

// Hedging is used by one thread.
class Hedging {
public:
    struct Options {
        double limit = 0; // second attempts per request to a service, 0 to 1; 0 for none
        double slowQuantile = 0.9; // of a route's response times; slower requests may get a second attempt
        std::uint64_t minimumSamples = 20; // response times of a route before its quantiles count
        double assumedMedian = 1.0 / 3; // of the target latency, until a route has so many
        double maximumUtilization = 0.8; // of the service's slots; above it second attempts would queue
        double maximumSaved = 2; // second attempts that a quiet time saves up
        std::chrono::milliseconds minimumDelay { 20 };
    };

    // Request describes a request whose first attempt starts now.
    struct Request {
        std::string_view route;
        std::chrono::milliseconds targetLatencyLeft { 0 };
        std::chrono::milliseconds timeLeft { 0 }; // to its deadline
    };

    explicit Hedging(const Options& options)
        : m_options(options)
    {
    }

    // recordRequest() counts a request for `service`, which adds the limit to what may be sent there.
    auto recordRequest(std::string_view service) -> void;

    // recordResponse() records how long an attempt of `route` took from its start to its whole response.
    auto recordResponse(std::string_view route, std::chrono::milliseconds responseTime) -> void;

    // delay() returns how long to wait for the first attempt; nothing if the request gets no second one, because there
    // is no limit set or because a second one could not end before the deadline.
    [[nodiscard]] auto delay(const Request& request) const -> std::optional<std::chrono::milliseconds>;

    // canAcquire() returns whether `service`, whose targets are in use to `meanUtilization`, may get a second attempt;
    // tryAcquire() also counts it.
    [[nodiscard]] auto canAcquire(std::string_view service, double meanUtilization) const -> bool;
    [[nodiscard]] auto tryAcquire(std::string_view service, double meanUtilization) -> bool;

private:
    Options m_options;
    std::map<std::string, ServiceTimeHistogram, std::less<>> m_responseTimes; // by route
    std::map<std::string, double, std::less<>> m_allowance; // second attempts left, by service
};

} // namespace coriandergate::dispatch
