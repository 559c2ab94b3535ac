#include "balance/TargetChooser.h"

#include "testing/BalanceTrace.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace coriandergate;
using namespace coriandergate::balance;
using namespace coriandergate::testing;
using namespace std::chrono_literals;

namespace {

const Locality ownLocality { "r1", "a" };
const MonotonicTime start = MonotonicTime() + 1h;

auto describe(int number, const Locality& locality, MonotonicTime startedAt = {}) -> TargetDescription
{
    return { std::to_string(number), { "owner", 1 }, locality, 6, startedAt, false };
}

// countChoices() returns how many of 1000 choices fall on each target address.
auto countChoices(const TargetChooser& chooser, MonotonicTime now, std::span<const std::string_view> excluded = {})
    -> std::map<std::string, int>
{
    std::mt19937_64 random(1);
    std::map<std::string, int> counts;
    for (auto i = 0; i < 1000; ++i)
        if (const auto target = chooser.choose("s", excluded, random(), now))
            ++counts[target->description().address];
    return counts;
}

}

TEST_CASE("one slow target of 26 raises 99th-percentile latency by at most 30 percent")
{
    const auto healthy = runBalanceTrace({ .targets = 26 });
    const auto gray = runBalanceTrace({ .targets = 26, .grayTargets = 1 });
    CHECK(static_cast<double>(gray.p99.count()) <= 1.3 * static_cast<double>(healthy.p99.count()));
    CHECK(gray.grayShare < 1.0 / 26);
}

TEST_CASE("ejected, avoided and draining targets get no requests while enough capacity is left for the floor")
{
    TargetChooser chooser({ .ownLocality = ownLocality });
    std::vector<TargetDescription> targets;
    for (auto i = 0; i < 4; ++i)
        targets.push_back(describe(i, ownLocality));
    chooser.setTargets("s", targets, 0.7, start);
    const auto candidates = chooser.candidates("s");
    candidates[0]->applyLoadReport({ .ejectedFor = 4s }, start, start + 1s);
    chooser.refresh(start + 1s);
    CHECK_FALSE(countChoices(chooser, start + 1s).contains("0"));
    candidates[1]->setAvoidedUntil(start + 10s);
    chooser.refresh(start + 1s);
    // Excluding two of four targets would go below the floor of 0.7, so the one that becomes usable first is used.
    CHECK(countChoices(chooser, start + 1s).contains("0"));
    CHECK_FALSE(countChoices(chooser, start + 1s).contains("1"));
    chooser.refresh(start + 4s);
    CHECK(countChoices(chooser, start + 4s).size() == 3);
    candidates[2]->applyLoadReport({ .isDraining = true }, start, start + 4s);
    CHECK_FALSE(countChoices(chooser, start + 4s).contains("2"));
}

TEST_CASE("other regions are used when the own region is overloaded or excluded, and excluded targets are never used")
{
    TargetChooser chooser({ .ownLocality = ownLocality });
    const std::vector<TargetDescription> targets { describe(0, ownLocality), describe(1, { "r1", "b" }),
        describe(2, { "r2", "c" }) };
    chooser.setTargets("s", targets, 0.5, start);
    CHECK_FALSE(countChoices(chooser, start).contains("2"));
    const std::vector<std::string_view> excluded { "0", "1" };
    CHECK(countChoices(chooser, start, excluded).at("2") == 1000);
    const std::vector<std::string_view> all { "0", "1", "2" };
    CHECK(countChoices(chooser, start, all).empty());
    for (auto i = 0; i < 2; ++i)
        chooser.candidates("s")[static_cast<std::size_t>(i)]->applyLoadReport(
            { .busySlots = 6, .waiting = 2000 }, start, start);
    CHECK(countChoices(chooser, start).at("2") > 900);
    CHECK(chooser.choose("unknown", {}, 1, start) == nullptr);
}

TEST_CASE("an unavailable target gets no requests immediately, even while all other targets warm up")
{
    TargetChooser chooser({ .ownLocality = ownLocality });
    const std::vector<TargetDescription> targets { describe(0, ownLocality, start), describe(1, ownLocality, start),
        describe(2, ownLocality, start) };
    chooser.setTargets("s", targets, 0.9, start);
    for (const auto i : { 0U, 1U })
        chooser.candidates("s")[i]->setUnavailableUntil(start + 3s);
    CHECK(countChoices(chooser, start).at("2") == 1000);
    CHECK(countChoices(chooser, start + 3s).size() == 3);
}

TEST_CASE("the share of requests of a new target grows during its warm-up")
{
    TargetChooser chooser({ .ownLocality = ownLocality });
    const std::vector<TargetDescription> targets { describe(0, ownLocality, start), describe(1, ownLocality),
        describe(2, ownLocality) };
    chooser.setTargets("s", targets, 0.7, start);
    const auto cold = countChoices(chooser, start)["0"];
    const auto warm = countChoices(chooser, start + 1h)["0"];
    CHECK(cold < 100);
    CHECK(cold > 0);
    CHECK(warm > 250);
}
