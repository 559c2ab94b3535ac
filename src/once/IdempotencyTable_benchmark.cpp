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

auto makeLedger() -> std::unique_ptr<IdempotencyTable>
{
    auto ledger = std::make_unique<IdempotencyTable>(
        IdempotencyTable::Options { .seatCount = seatCount, .maximumKeys = 1 << 30 });
    for (unsigned seat = 0; seat < seatCount; ++seat)
        ledger->openSeat({ seat, 1, start + std::chrono::hours(9999), start, {}, {} }, {}, {}, start);
    return ledger;
}

// A permit and its outcome for a new key, with the old ones being forgotten.
auto beginAndFinish(benchmark::State& state) -> void
{
    static const auto s_ledger = makeLedger();
    std::uint64_t number = static_cast<std::uint64_t>(state.thread_index()) << 40;
    auto now = start;
    for (auto _ : state) {
        now += std::chrono::milliseconds(80); // 45,000 keys within the retention
        ++number;
        // Spread like digests: threads that met at one seat would otherwise meet at the next ones, too.
        const IdempotencyKey key { hashOf({ reinterpret_cast<const char*>(&number), sizeof number }), number };
        const SeatLease tenure { seatOf(key, seatCount), 1, start + std::chrono::hours(9999), start, {}, {} };
        benchmark::DoNotOptimize(s_ledger->requestPermit({ key, { 1, number }, owner, 7 }, tenure, now));
        s_ledger->recordOutcome(key, { 1, number }, Ran { 201, {} }, now);
    }
    state.SetItemsProcessed(state.iterations());
}

auto ownAttempt(benchmark::State& state) -> void
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

BENCHMARK(beginAndFinish)->ThreadRange(1, 8)->UseRealTime();
BENCHMARK(ownAttempt)->ThreadRange(1, 8)->UseRealTime();
