#include "dispatch/SlotQueue.h"

#include <benchmark/benchmark.h>

using namespace coriandergate;
using namespace coriandergate::dispatch;

namespace {

// Queues one request and grants another per iteration while others wait; with no account where `accounts` is 0.
auto reserveAndGrant(benchmark::State& state) -> void
{
    using namespace std::chrono_literals;
    const auto accounts = static_cast<std::size_t>(state.range(0));
    constexpr std::size_t waiting = 12; // 6 slots serve as many in 0.8 s
    SlotQueue queue({ .slots = 6, .initialServiceTime = 400ms });
    std::vector<std::string> names;
    for (std::size_t number = 0; number < accounts; ++number)
        names.push_back("account-" + std::to_string(number));
    MonotonicTime now;
    SlotQueue::Ticket ticket = 0;
    const auto reserve = [&] {
        ++ticket;
        return queue.reserve({ .ticket = ticket,
                                 .startDeadline = now + 1000h,
                                 .clientAccount = accounts == 0 ? std::string() : names[ticket % accounts] },
            now);
    };
    for (std::size_t i = 0; i < 6 + waiting; ++i)
        benchmark::DoNotOptimize(reserve());
    std::vector<SlotQueue::Ticket> running;
    std::size_t oldest = 0;
    for (auto _ : state) {
        now += 100us;
        benchmark::DoNotOptimize(reserve());
        queue.release(400ms, oldest < running.size() ? std::optional(running[oldest++]) : std::nullopt);
        if (const auto next = queue.grantNext(now))
            running.push_back(*next);
        benchmark::DoNotOptimize(queue.takeEvicted());
    }
}

} // namespace

BENCHMARK(reserveAndGrant)->Arg(0)->Arg(1)->Arg(8)->Arg(64);
