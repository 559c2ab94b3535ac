#include "health/EjectionDecider.h"
#include "health/TargetObserver.h"
#include "poison/PoisonStatusTable.h"

#include <array>
#include <benchmark/benchmark.h>
#include <memory>

using namespace coriandergate;
using namespace coriandergate::health;

namespace {

constexpr auto maxThreads = 8;
constexpr std::size_t targetCount = 14;

auto observe(benchmark::State& state) -> void
{
    static std::array<std::unique_ptr<TargetObserver>, targetCount> s_observers;
    auto now = monotonicNow();
    if (state.thread_index() == 0) {
        for (auto& observer : s_observers) {
            observer = std::make_unique<TargetObserver>(
                TargetObserver::Identity { "ledger", "a", 6 }, TargetObserver::Options(), now - std::chrono::hours(1));
            observer->setBaseline({ 18, 2, 0, 0.005f });
        }
    }
    auto next = static_cast<std::size_t>(state.thread_index());
    for (auto _ : state) {
        auto& observer = *s_observers[next++ % targetCount];
        const auto ticket = observer.begin(now);
        now += std::chrono::microseconds(1);
        observer.finish(ticket, Outcome::Success, now);
    }
    state.SetItemsProcessed(state.iterations());
}

auto receiveReport(benchmark::State& state) -> void
{
    EjectionDecider decider({}, {});
    decider.setLeadershipUntil(MonotonicTime::max());
    auto now = monotonicNow();
    TargetReport report;
    report.recentServiceTimes.add(std::chrono::milliseconds(20), 40);
    report.serviceTimesSinceOnset.add(std::chrono::milliseconds(30), 20);
    report.serviceTimeIntervalsSinceOnset = 4;
    std::uint64_t count = 0;
    for (auto _ : state) {
        const auto target = static_cast<std::int64_t>(count) % state.range(0);
        report.target = std::to_string(target);
        report.sequence = ++count;
        report.isSuspicious = target == 0;
        now += std::chrono::milliseconds(1);
        benchmark::DoNotOptimize(decider.receive(report, now));
    }
}

auto lookUpPoisonStatus(benchmark::State& state) -> void
{
    static poison::PoisonStatusTable s_table;
    const auto now = monotonicNow();
    std::uint64_t fingerprint = 1;
    for (auto _ : state)
        benchmark::DoNotOptimize(s_table.statusOf(fingerprint += 0x9e3779b97f4a7c15ULL, now));
    state.SetItemsProcessed(state.iterations());
}

BENCHMARK(observe)->ThreadRange(1, maxThreads)->UseRealTime();
BENCHMARK(receiveReport)->Arg(26)->Arg(200);
BENCHMARK(lookUpPoisonStatus)->ThreadRange(1, maxThreads)->UseRealTime();

} // namespace
