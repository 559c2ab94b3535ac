// The time of a decision on one request's rate, at few and many accounts, from 1 to 8 threads. Every account is given
// tokens by a home in the same process, so that the common case is measured: a token is there.
#include "seat/SeatDirectory.h"
#include "share/TokenClient.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace coriandergate;

// Enough for every iteration of every thread.
auto tokensOver(std::size_t accounts) -> std::size_t { return std::max<std::size_t>(10, 400000 / accounts); }

class Fixture {
public:
    explicit Fixture(std::size_t accounts)
        : m_holder(m_self, m_directory, {})
        , m_limits(share::bucketLimitsFor(1e9, 4e9, {}))
    {
        m_directory.adopt({ 1, { { 1, m_self, { m_self }, {} } } });
        for (std::size_t i = 0; i < accounts; ++i)
            m_names.push_back("account-" + std::to_string(i));
        for (const auto& name : m_names)
            benchmark::DoNotOptimize(m_holder.acquire(name, m_limits, m_start));
        for (const auto& ask : m_holder.takeTokenRequests(m_start)) {
            share::TokenResponse grant { m_self, m_self, {} };
            for (const auto& item : ask.items) {
                grant.items.push_back({ item.id, true, std::vector<std::chrono::microseconds>(tokensOver(accounts)),
                    std::chrono::hours(1), {} });
            }
            benchmark::DoNotOptimize(m_holder.handleResponse(grant, m_start));
        }
    }

    auto acquire(std::size_t i) -> bool
    {
        const auto decision = m_holder.acquire(m_names[i % m_names.size()], m_limits, m_start);
        return std::holds_alternative<share::TokenGranted>(decision);
    }

private:
    DaemonIdentity m_self { "127.0.0.1:7101", 1 };
    MonotonicTime m_start { std::chrono::hours(1) };
    seat::SeatDirectory m_directory;
    share::TokenClient m_holder;
    share::BucketLimits m_limits;
    std::vector<std::string> m_names;
};

auto acquireToken(benchmark::State& state) -> void
{
    static std::unique_ptr<Fixture> s_fixture;
    if (state.thread_index() == 0)
        s_fixture = std::make_unique<Fixture>(static_cast<std::size_t>(state.range(0)));
    std::size_t i = static_cast<std::size_t>(state.thread_index()) * 7919;
    std::size_t granted = 0;
    for ([[maybe_unused]] const auto step : state)
        granted += s_fixture->acquire(i++) ? 1 : 0;
    state.counters["granted"] = benchmark::Counter(static_cast<double>(granted), benchmark::Counter::kAvgIterations);
}

BENCHMARK(acquireToken)->Arg(8)->Arg(37000)->ThreadRange(1, 8)->UseRealTime()->Iterations(4000);

} // namespace
