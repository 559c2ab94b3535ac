#include "config/SnapshotCodec.h"

#include "config/Configuration.h"
#include "config/ConfigurationDelta.h"
#include "config/Declaration.h"
#include "config/KeyDigest.h"
#include "config/Snapshot.h"

#include <benchmark/benchmark.h>

namespace coriandergate::config {

namespace {

    // The configuration of a whole fleet, with one key an account.
    auto fleetConfiguration() -> const Configuration&
    {
        static const auto s_configuration = [] {
            constexpr int serviceCount = 1100;
            constexpr int accountCount = 37000;
            constexpr int routeCount = 7700;
            Configuration built;
            built.version = 1;
            const auto number = [](int i) { return std::to_string(100000 + i); };
            for (int i = 0; i < serviceCount; ++i)
                built.services.push_back({ "service-" + number(i), 0.7, { "rajkot-1", "rajkot-2" }, {} });
            for (int i = 0; i < accountCount; ++i)
                built.clientAccounts.push_back({ "account-" + number(i), { digestOfKey(number(i)) }, 10, 20 });
            for (int i = 0; i < routeCount; ++i)
                built.routes.push_back({ "route-" + number(i), "mesh.example", "/route/" + number(i),
                    "service-" + number(i % serviceCount), false, { "account-" + number(i) } });
            return built;
        }();
        return s_configuration;
    }

    auto withOneKeyLess() -> Configuration
    {
        auto after = fleetConfiguration();
        after.version = 2;
        after.clientAccounts[7].keyDigests.clear();
        return after;
    }

    auto encodeFleet(benchmark::State& state) -> void
    {
        std::size_t bytes = 0;
        for (auto _ : state)
            bytes = encodeSnapshot(fleetConfiguration()).size();
        state.counters["bytes"] = static_cast<double>(bytes);
    }

    auto decodeFleet(benchmark::State& state) -> void
    {
        const auto bytes = encodeSnapshot(fleetConfiguration());
        const auto head = headOf(fleetConfiguration());
        Error reason;
        for (auto _ : state)
            benchmark::DoNotOptimize(decodeSnapshot(bytes, head, reason));
    }

    auto applyOneChange(benchmark::State& state) -> void
    {
        const auto delta = deltaBetween(fleetConfiguration(), withOneKeyLess());
        Error reason;
        for (auto _ : state)
            benchmark::DoNotOptimize(applyDelta(fleetConfiguration(), delta, reason));
        state.counters["bytes"] = static_cast<double>(encodeDelta(delta).size());
    }

    auto buildIndexes(benchmark::State& state) -> void
    {
        const auto configuration = std::make_shared<const Configuration>(fleetConfiguration());
        for (auto _ : state)
            benchmark::DoNotOptimize(Snapshot(configuration));
    }

    auto parseFleet(benchmark::State& state) -> void
    {
        const auto text = writeDeclaration(fleetConfiguration());
        std::vector<DeclarationFault> faults;
        for (auto _ : state)
            benchmark::DoNotOptimize(parseDeclaration(text, faults));
        state.counters["bytes"] = static_cast<double>(text.size());
    }

    auto matchRoute(benchmark::State& state) -> void
    {
        const RouteTable routes(std::make_shared<const Configuration>(fleetConfiguration()));
        for (auto _ : state)
            benchmark::DoNotOptimize(routes.match("mesh.example", "/route/105000/lines/7?page=2"));
    }

    auto findAccount(benchmark::State& state) -> void
    {
        const KeyIndex keys(std::make_shared<const Configuration>(fleetConfiguration()));
        for (auto _ : state)
            benchmark::DoNotOptimize(keys.accountForKey("120000"));
    }

} // namespace

BENCHMARK(encodeFleet)->Unit(benchmark::kMillisecond);
BENCHMARK(decodeFleet)->Unit(benchmark::kMillisecond);
BENCHMARK(applyOneChange)->Unit(benchmark::kMillisecond);
BENCHMARK(buildIndexes)->Unit(benchmark::kMillisecond);
BENCHMARK(parseFleet)->Unit(benchmark::kMillisecond);
BENCHMARK(matchRoute);
BENCHMARK(findAccount);

} // namespace coriandergate::config
