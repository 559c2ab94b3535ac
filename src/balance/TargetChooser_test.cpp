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

const Locality here { "r1", "a" };
const MonotonicTime start = MonotonicTime() + 1h;

auto describe(int number, const Locality& locality, MonotonicTime startedAt = {}) -> TargetDescription
{
    return { std::to_string(number), { "owner", 1 }, locality, 6, startedAt, false };
}

// shares() counts which targets a thousand choices fall on.
auto shares(const TargetChooser& chooser, MonotonicTime now, std::span<const std::string_view> excluded = {})
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

TEST_CASE("one gray target in 26 raises the 99th percentile by less than 1.3 times")
{
    const auto well = runBalanceTrace({ .targets = 26 });
    const auto gray = runBalanceTrace({ .targets = 26, .grayTargets = 1 });
    CHECK(static_cast<double>(gray.p99.count()) <= 1.3 * static_cast<double>(well.p99.count()));
    CHECK(gray.grayShare < 1.0 / 26);
}

TEST_CASE("an ejected, avoided or draining target gets nothing until its time is over, above the floor")
{
    TargetChooser chooser({ .here = here });
    std::vector<TargetDescription> targets;
    for (auto i = 0; i < 4; ++i)
        targets.push_back(describe(i, here));
    chooser.setTargets("s", targets, 0.7, start);
    const auto known = chooser.candidates("s");
    known[0]->applyLoadReport({ .ejectedFor = 4s }, start, start + 1s);
    chooser.refresh(start + 1s);
    CHECK_FALSE(shares(chooser, start + 1s).contains("0"));
    known[1]->setAvoidedUntil(start + 10s);
    chooser.refresh(start + 1s);
    // Two of four out would leave less than the floor: the one that is back first is used all the same.
    CHECK(shares(chooser, start + 1s).contains("0"));
    CHECK_FALSE(shares(chooser, start + 1s).contains("1"));
    chooser.refresh(start + 4s);
    CHECK(shares(chooser, start + 4s).size() == 3);
    known[2]->applyLoadReport({ .isDraining = true }, start, start + 4s);
    CHECK_FALSE(shares(chooser, start + 4s).contains("2"));
}

TEST_CASE("other regions are used when the own one is full or empty, and excluded targets never")
{
    TargetChooser chooser({ .here = here });
    const std::vector<TargetDescription> targets { describe(0, here), describe(1, { "r1", "b" }),
        describe(2, { "r2", "c" }) };
    chooser.setTargets("s", targets, 0.5, start);
    CHECK_FALSE(shares(chooser, start).contains("2"));
    const std::vector<std::string_view> excluded { "0", "1" };
    CHECK(shares(chooser, start, excluded).at("2") == 1000);
    const std::vector<std::string_view> all { "0", "1", "2" };
    CHECK(shares(chooser, start, all).empty());
    for (auto i = 0; i < 2; ++i)
        chooser.candidates("s")[static_cast<std::size_t>(i)]->applyLoadReport(
            { .busySlots = 6, .queued = 2000 }, start, start);
    CHECK(shares(chooser, start).at("2") > 900);
    CHECK(chooser.choose("unknown", {}, 1, start) == nullptr);
}

TEST_CASE("a target that is gone gets nothing at once, also while all others warm up")
{
    TargetChooser chooser({ .here = here });
    const std::vector<TargetDescription> targets { describe(0, here, start), describe(1, here, start),
        describe(2, here, start) };
    chooser.setTargets("s", targets, 0.9, start);
    for (const auto i : { 0U, 1U })
        chooser.candidates("s")[i]->setUnavailableUntil(start + 3s);
    CHECK(shares(chooser, start).at("2") == 1000);
    CHECK(shares(chooser, start + 3s).size() == 3);
}

TEST_CASE("a new target's share grows over its warm-up")
{
    TargetChooser chooser({ .here = here });
    const std::vector<TargetDescription> targets { describe(0, here, start), describe(1, here), describe(2, here) };
    chooser.setTargets("s", targets, 0.7, start);
    const auto cold = shares(chooser, start)["0"];
    const auto warm = shares(chooser, start + 1h)["0"];
    CHECK(cold < 100);
    CHECK(cold > 0);
    CHECK(warm > 250);
}
