#include "balance/TargetChooser.h"

#include <benchmark/benchmark.h>
#include <random>

using namespace coriandergate;
using namespace coriandergate::balance;

namespace {

constexpr auto maxThreads = 8;

auto makeChooser(std::int64_t targetCount) -> std::unique_ptr<TargetChooser>
{
    auto chooser = std::make_unique<TargetChooser>(TargetChooser::Options { .ownLocality = { "r", "a" } });
    std::vector<TargetDescription> targets;
    for (std::int64_t i = 0; i < targetCount; ++i)
        targets.push_back({ std::to_string(i), { "owner", 1 }, { "r", i % 2 == 0 ? "a" : "b" }, 6, {}, false });
    chooser->setTargets("ledger", targets, 0.7, monotonicNow());
    return chooser;
}

auto chooseTarget(benchmark::State& state) -> void
{
    static std::unique_ptr<TargetChooser> s_chooser;
    if (state.thread_index() == 0)
        s_chooser = makeChooser(state.range(0));
    std::mt19937_64 random(static_cast<std::uint64_t>(state.thread_index()));
    auto now = monotonicNow();
    for (auto _ : state) {
        const auto target = s_chooser->choose("ledger", {}, random(), now);
        target->start();
        now += std::chrono::microseconds(1);
        target->finish(std::chrono::milliseconds(20), now);
    }
    state.SetItemsProcessed(state.iterations());
}

BENCHMARK(chooseTarget)->Arg(1)->Arg(14)->Arg(200)->Arg(22000)->ThreadRange(1, maxThreads)->UseRealTime();

} // namespace
