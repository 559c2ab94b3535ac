#include "base/Hash.h"
#include "once/AttemptTable.h"
#include "once/IdempotencyTable.h"

#include <benchmark/benchmark.h>

using namespace coriandergate;
using namespace coriandergate::once;

namespace {

const MonotonicTime start(std::chrono::hours(100));
const DaemonIdentity owner { "10.0.0.1:7101", 1 };
constexpr unsigned seatCount = 64;

auto makeTable() -> std::unique_ptr<IdempotencyTable>
{
    auto table = std::make_unique<IdempotencyTable>(
        IdempotencyTable::Options { .seatCount = seatCount, .maximumKeys = 1 << 30 });
    for (unsigned seat = 0; seat < seatCount; ++seat)
        table->openSeat({ seat, 1, start + std::chrono::hours(9999), start, {}, {} }, {}, {}, start);
    return table;
}

// Grants a new key and records its outcome, while expired keys are removed.
auto grantAndRecordOutcome(benchmark::State& state) -> void
{
    static const auto s_table = makeTable();
    std::uint64_t number = static_cast<std::uint64_t>(state.thread_index()) << 40;
    auto now = start;
    for (auto _ : state) {
        now += std::chrono::milliseconds(80); // 45,000 keys within the retention
        ++number;
        // Hashed, because real keys are digests. With consecutive keys, threads that meet at one seat would also meet
        // at the next ones.
        const IdempotencyKey key { hashOf({ reinterpret_cast<const char*>(&number), sizeof number }), number };
        const SeatLease lease { seatOf(key, seatCount), 1, start + std::chrono::hours(9999), start, {}, {} };
        benchmark::DoNotOptimize(s_table->requestPermit({ key, { 1, number }, owner, 7 }, lease, now));
        s_table->recordOutcome(key, { 1, number }, Ran { 201, {} }, now);
    }
    state.SetItemsProcessed(state.iterations());
}

auto openStartAndClose(benchmark::State& state) -> void
{
    static AttemptTable s_attempts({ .maximumAttempts = 1 << 24 }, owner);
    std::uint64_t number = static_cast<std::uint64_t>(state.thread_index()) << 40;
    auto now = start;
    for (auto _ : state) {
        now += std::chrono::milliseconds(80);
        const AttemptId attempt { 1, ++number };
        benchmark::DoNotOptimize(s_attempts.open(attempt, { number, number }, 7, now));
        s_attempts.applyPermit(attempt, { 1, std::chrono::seconds(1) }, now);
        benchmark::DoNotOptimize(s_attempts.tryStart(attempt, now));
        s_attempts.close(attempt, Ran { 201, {} });
        s_attempts.acknowledge(attempt);
    }
    state.SetItemsProcessed(state.iterations());
}

} // namespace

BENCHMARK(grantAndRecordOutcome)->ThreadRange(1, 8)->UseRealTime();
BENCHMARK(openStartAndClose)->ThreadRange(1, 8)->UseRealTime();
