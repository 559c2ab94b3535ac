// A seeded trace of requests to the targets of one service, run through the real objects of health/: an observer and a
// lease for each target, one decider, and a queue of messages between them that delays, drops and doubles.
//
//   const auto result = runGrayTrace({ .targets = 26, .fault = GrayFault::Slow, .seed = 7 });
//   REQUIRE(result.detectedAfter);
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace coriandergate::testing {

enum class GrayFault {
    None,
    Slow, // takes `slowdown` times as long
    Failing, // answers `failureShare` of its requests with an error
    HalfAnswers, // cuts `failureShare` of its answers
    Hung, // answers nothing
    Flapping, // slow for five seconds, well for five
    WholeService, // every target takes `slowdown` times as long
};

enum class ServiceTimes {
    Lognormal, // sigma 1, median 20 ms
    Pareto, // alpha 1.5, least 10 ms
    TwoModes, // 4 ms for most, 120 ms for one in ten
};

struct GrayTraceOptions {
    int targets = 26;
    int grayTargets = 1;
    double ratePerTarget = 20; // requests a second
    GrayFault fault = GrayFault::None;
    ServiceTimes times = ServiceTimes::Lognormal;
    double slowdown = 5;
    double failureShare = 0.3;
    double messageLoss = 0;
    std::chrono::seconds faultAt { 20 };
    std::chrono::seconds length { 40 };
    std::uint64_t seed = 1;
};

struct GrayTraceResult {
    std::optional<std::chrono::milliseconds> detectedAfter; // until the last gray target was out, since the fault
    std::optional<std::chrono::milliseconds> naiveDetectedAfter;
    int falseEjections = 0; // targets ejected without a fault of their own
    int naiveFalseEjections = 0;
    int ejections = 0; // of gray targets, again and again
    double grayShareOut = 0; // share of the time since the fault that gray targets were out
    int messages = 0;
    int requests = 0;
};

// runGrayTrace() is deterministic for its options.
[[nodiscard]] auto runGrayTrace(const GrayTraceOptions& options) -> GrayTraceResult;

} // namespace coriandergate::testing
