#include "admission/SlotTable.h"

#include <benchmark/benchmark.h>

using namespace coriandergate;
using namespace coriandergate::admission;

namespace {

// One request that waits, and one that is released, with requests of many accounts waiting all the time.
auto submitAndRelease(benchmark::State& state) -> void
{
    const auto accounts = static_cast<std::size_t>(state.range(0));
    SlotTable table({ .queue = { .maximumRequests = accounts + 1, .maximumRequestsPerAccount = accounts + 1 } });
    table.setTarget("orders", "t", 7);
    std::vector<std::string> names;
    for (std::size_t number = 0; number < accounts; ++number)
        names.push_back("account-" + std::to_string(number));
    std::vector<DequeueDecision> dispatches;
    std::vector<Ticket> running;
    const Deadline deadline { MonotonicTime(std::chrono::hours(9999)) };
    MonotonicTime now;
    std::size_t next = 0;
    const auto submit = [&] {
        const auto decision = table.submit({ "orders", names[next++ % accounts], deadline }, now, dispatches);
        if (const auto* run = std::get_if<Admitted>(&decision))
            running.push_back(run->ticket);
    };
    for (std::size_t number = 0; number < accounts + 6; ++number)
        submit();
    std::size_t oldest = 0;
    for (auto _ : state) {
        now += std::chrono::microseconds(100);
        submit();
        table.release(running[oldest++], now, dispatches);
        for (const auto& dispatch : dispatches) {
            if (const auto* run = std::get_if<Admitted>(&dispatch))
                running.push_back(run->ticket);
        }
        dispatches.clear();
    }
}

auto withoutWaiting(benchmark::State& state) -> void
{
    static SlotTable s_table({});
    const auto group = "group-" + std::to_string(state.thread_index());
    s_table.setTarget(group, "t", 7);
    std::vector<DequeueDecision> dispatches;
    const Deadline deadline { MonotonicTime(std::chrono::hours(9999)) };
    MonotonicTime now;
    for (auto _ : state) {
        now += std::chrono::microseconds(100);
        const auto decision = s_table.submit({ group, "a", deadline }, now, dispatches);
        s_table.release(std::get<Admitted>(decision).ticket, now, dispatches);
    }
    state.SetItemsProcessed(state.iterations());
}

} // namespace

BENCHMARK(submitAndRelease)->Arg(8)->Arg(37'000);
BENCHMARK(withoutWaiting)->ThreadRange(1, 8)->UseRealTime();
