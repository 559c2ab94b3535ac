// Prints detection time and false ejections of the gray detector and of the naive one, and latency and load under each
// way to choose targets, over the same seeded traces.
//
//   coriandergate-measure-health [seeds]
#include "testing/BalanceTrace.h"
#include "testing/GrayTrace.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

using namespace coriandergate::testing;

namespace {

struct Row {
    const char* name;
    GrayTraceOptions options;
};

auto print(const char* name, std::vector<double> times, int missed, int falseEjections) -> void
{
    std::sort(times.begin(), times.end());
    const auto median = times.empty() ? 0 : times[times.size() / 2];
    const auto worst = times.empty() ? 0 : times.back();
    std::printf("  %-8s detected median %6.2f s  worst %6.2f s  missed %3d  false %3d", name, median, worst, missed,
        falseEjections);
}

auto measure(const Row& row, int seeds) -> void
{
    std::vector<double> times;
    std::vector<double> naiveTimes;
    auto missed = 0;
    auto naiveMissed = 0;
    auto falseEjections = 0;
    auto naiveFalse = 0;
    auto messages = 0.0;
    auto out = 0.0;
    auto late = 0;
    for (auto seed = 1; seed <= seeds; ++seed) {
        auto options = row.options;
        options.seed = static_cast<std::uint64_t>(seed);
        const auto result = runGrayTrace(options);
        result.detectedAfter ? times.push_back(static_cast<double>(result.detectedAfter->count()) / 1000)
                             : void(++missed);
        late += result.detectedAfter && result.detectedAfter->count() > 3000 ? 1 : 0;
        result.naiveDetectedAfter ? naiveTimes.push_back(static_cast<double>(result.naiveDetectedAfter->count()) / 1000)
                                  : void(++naiveMissed);
        falseEjections += result.falseEjections;
        naiveFalse += result.naiveFalseEjections;
        messages += result.messages / static_cast<double>(options.length.count()) / options.targets / seeds;
        out += result.grayShareOut / seeds;
    }
    std::printf("%s\n", row.name);
    print("ours", times, missed, falseEjections);
    std::printf("  over 3 s %d  out %2.0f%%  messages/s/target %.2f\n", late, 100 * out, messages);
    print("naive", naiveTimes, naiveMissed, naiveFalse);
    std::printf("\n");
}

auto measureBalance(const char* name, const coriandergate::balance::Policy& policy, int targets, int gray) -> void
{
    const auto result = runBalanceTrace({ .targets = targets, .grayTargets = gray, .policy = policy });
    std::printf(
        "%-18s targets %3d  gray %d  p50 %6.1f ms  p99 %7.1f ms  gray's share %.4f  most loaded %.2f times the mean\n",
        name, targets, gray, static_cast<double>(result.p50.count()) / 1000,
        static_cast<double>(result.p99.count()) / 1000, gray > 0 ? result.grayShare : 0, result.mostLoaded);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    constexpr auto defaultSeeds = 40;
    constexpr auto mostSeeds = 1000;
    const auto seeds = argc > 1 ? std::clamp(std::atoi(argv[1]), 1, mostSeeds) : defaultSeeds;
    using enum GrayFault;
    const std::vector<Row> rows {
        { "slow 5x, lognormal, 26 targets", { .fault = Slow } },
        { "slow 5x, Pareto, 26 targets", { .fault = Slow, .times = ServiceTimes::Pareto } },
        { "slow 5x, two modes, 26 targets", { .fault = Slow, .times = ServiceTimes::TwoModes } },
        { "slow 5x, lognormal, 8 targets, two gray", { .targets = 8, .grayTargets = 2, .fault = Slow } },
        { "slow 5x, lognormal, 200 targets", { .targets = 200, .fault = Slow, .length = std::chrono::seconds(30) } },
        { "slow 5x, 10% of messages lost", { .fault = Slow, .messageLoss = 0.1 } },
        { "failing 30%, 26 targets", { .fault = Failing } },
        { "failing 30%, 8 targets, two gray", { .targets = 8, .grayTargets = 2, .fault = Failing } },
        { "half answers 30%", { .fault = HalfAnswers } },
        { "hung", { .fault = Hung } },
        { "flapping, 5 s slow, 5 s well", { .fault = Flapping, .length = std::chrono::seconds(120) } },
        { "whole service 5x slower", { .fault = WholeService } },
        { "whole service 5x slower, 1 request/s", { .ratePerTarget = 1, .fault = WholeService } },
        { "healthy, lognormal", { .length = std::chrono::seconds(120) } },
        { "healthy, Pareto", { .times = ServiceTimes::Pareto, .length = std::chrono::seconds(120) } },
        { "healthy, two modes", { .times = ServiceTimes::TwoModes, .length = std::chrono::seconds(120) } },
    };
    for (const auto& row : rows)
        measure(row, seeds);
    for (const auto targets : { 8, 26, 200 }) {
        for (const auto gray : { 0, 1, 2 }) {
            measureBalance("power of two", coriandergate::balance::PowerOfTwoChoices(), targets, gray);
            measureBalance("round robin", coriandergate::balance::RoundRobin(), targets, gray);
            measureBalance("least connections", coriandergate::balance::LeastConnections(), targets, gray);
        }
    }
    return 0;
}
