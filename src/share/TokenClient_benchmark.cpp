// Measures TokenClient::acquire() with few and many accounts, on 1 to 8 threads. Every account has tokens in stock, as
// in the common case; the fixture issues them itself.
#include "seat/SeatDirectory.h"
#include "share/TokenClient.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace coriandergate;

// Enough tokens for all iterations of all threads.
auto tokensPerAccount(std::size_t accounts) -> std::size_t { return std::max<std::size_t>(10, 400000 / accounts); }

class Fixture {
public:
    explicit Fixture(std::size_t accounts)
        : m_client(m_self, m_directory, {})
        , m_limits(share::bucketLimitsFor(1e9, 4e9, {}))
    {
        m_directory.adopt({ 1, { { 1, m_self, { m_self }, {} } } });
        for (std::size_t i = 0; i < accounts; ++i)
            m_accounts.push_back("account-" + std::to_string(i));
        for (const auto& account : m_accounts)
            benchmark::DoNotOptimize(m_client.acquire(account, m_limits, m_now));
        for (const auto& request : m_client.takeTokenRequests(m_now)) {
            share::TokenResponse response { m_self, m_self, {} };
            for (const auto& item : request.items) {
                response.items.push_back({ item.id, true,
                    std::vector<std::chrono::microseconds>(tokensPerAccount(accounts)), std::chrono::hours(1), {} });
            }
            benchmark::DoNotOptimize(m_client.handleResponse(response, m_now));
        }
    }

    auto acquire(std::size_t i) -> bool
    {
        const auto decision = m_client.acquire(m_accounts[i % m_accounts.size()], m_limits, m_now);
        return std::holds_alternative<share::TokenGranted>(decision);
    }

private:
    DaemonIdentity m_self { "127.0.0.1:7101", 1 };
    MonotonicTime m_now { std::chrono::hours(1) };
    seat::SeatDirectory m_directory;
    share::TokenClient m_client;
    share::BucketLimits m_limits;
    std::vector<std::string> m_accounts;
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
