#include "admission/SlotTable.h"

#include <benchmark/benchmark.h>

using namespace coriandergate;
using namespace coriandergate::admission;

namespace {

// Queues one request and releases another per iteration, while requests of all accounts are queued.
auto submitAndReleaseQueued(benchmark::State& state) -> void
{
    const auto accounts = static_cast<std::size_t>(state.range(0));
    SlotTable table({ .queue = { .maximumRequests = accounts + 1, .maximumRequestsPerAccount = accounts + 1 } });
    table.setTarget("orders", "t", 7);
    std::vector<std::string> names;
    for (std::size_t number = 0; number < accounts; ++number)
        names.push_back("account-" + std::to_string(number));
    std::vector<DequeueDecision> dequeued;
    std::vector<Ticket> running;
    const Deadline deadline { MonotonicTime(std::chrono::hours(9999)) };
    MonotonicTime now;
    std::size_t next = 0;
    const auto submit = [&] {
        const auto decision = table.submit({ "orders", names[next++ % accounts], deadline }, now, dequeued);
        if (const auto* admitted = std::get_if<Admitted>(&decision))
            running.push_back(admitted->ticket);
    };
    for (std::size_t number = 0; number < accounts + 6; ++number)
        submit();
    std::size_t oldest = 0;
    for (auto _ : state) {
        now += std::chrono::microseconds(100);
        submit();
        table.release(running[oldest++], now, dequeued);
        for (const auto& decision : dequeued) {
            if (const auto* admitted = std::get_if<Admitted>(&decision))
                running.push_back(admitted->ticket);
        }
        dequeued.clear();
    }
}

auto submitAndReleaseUnqueued(benchmark::State& state) -> void
{
    static SlotTable s_table({});
    const auto group = "group-" + std::to_string(state.thread_index());
    s_table.setTarget(group, "t", 7);
    std::vector<DequeueDecision> dequeued;
    const Deadline deadline { MonotonicTime(std::chrono::hours(9999)) };
    MonotonicTime now;
    for (auto _ : state) {
        now += std::chrono::microseconds(100);
        const auto decision = s_table.submit({ group, "a", deadline }, now, dequeued);
        s_table.release(std::get<Admitted>(decision).ticket, now, dequeued);
    }
    state.SetItemsProcessed(state.iterations());
}

} // namespace

BENCHMARK(submitAndReleaseQueued)->Arg(8)->Arg(37'000);
BENCHMARK(submitAndReleaseUnqueued)->ThreadRange(1, 8)->UseRealTime();
