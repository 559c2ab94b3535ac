#include "config/ConfigurationDelta.h"

#include "config/Configuration.h"
#include "config/KeyDigest.h"
#include "config/SnapshotCodec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

namespace coriandergate::config {

namespace {

    auto randomConfiguration(std::mt19937_64& random, std::uint64_t version) -> Configuration
    {
        Configuration configuration;
        configuration.version = version;
        for (int i = 0; i < 9; ++i) {
            const auto number = std::to_string(i);
            if (random() % 2 == 0)
                configuration.services.push_back(
                    { "s" + number, 0.1 * static_cast<double>(random() % 10), { "dc" }, { { "a", { "b" } } } });
            if (random() % 2 == 0)
                configuration.clientAccounts.push_back(
                    { "a" + number, { digestOfKey(number) }, 0.3, static_cast<double>(random() % 3 + 1) });
            if (random() % 2 == 0)
                configuration.routes.push_back({ "r" + number, "", "/" + number, "s1", random() % 2 == 0, {},
                    RepeatPolicy::Idempotent, std::chrono::milliseconds(random() % 3) });
        }
        return configuration;
    }

} // namespace

TEST_CASE("snapshots and deltas lead to the same configuration", "[config]")
{
    std::mt19937_64 random(20);
    for (int i = 0; i < 200; ++i) {
        const auto before = randomConfiguration(random, 7);
        const auto after = randomConfiguration(random, 8);
        Error reason;
        CHECK(decodeSnapshot(encodeSnapshot(after), headOf(after), reason) == after);
        const auto delta = deltaBetween(before, after);
        CHECK(decodeDelta(encodeDelta(delta), reason) == delta);
        CHECK(applyDelta(before, delta, reason) == after);
        CHECK(parseConfigurationHead(delta.to.toText(), reason) == delta.to);
        if (before.routes != after.routes)
            CHECK_FALSE(applyDelta(after, delta, reason).has_value());
    }
}

TEST_CASE("a snapshot or delta that is not what the head names is refused", "[config]")
{
    std::mt19937_64 random(21);
    const auto before = randomConfiguration(random, 7);
    const auto after = randomConfiguration(random, 8);
    const auto head = headOf(after);
    const auto bytes = encodeSnapshot(after);
    const auto delta = encodeDelta(deltaBetween(before, after));
    Error reason;
    for (int i = 0; i < 2000; ++i) {
        auto damaged = bytes;
        damaged[random() % damaged.size()] ^= static_cast<char>(1U << random() % 8);
        REQUIRE_FALSE(decodeSnapshot(damaged, head, reason).has_value());
        // Even one whose digest fits is read with care.
        (void)decodeSnapshot(damaged, { 8, digestOfKey(damaged) }, reason);
        auto damagedDelta = delta;
        damagedDelta[random() % damagedDelta.size()] ^= static_cast<char>(1U << random() % 8);
        if (const auto decoded = decodeDelta(damagedDelta, reason))
            (void)applyDelta(before, *decoded, reason);
    }
    CHECK_FALSE(decodeSnapshot(bytes, { 9, head.digest }, reason).has_value());
    CHECK(reason.peer == "9-" + head.digest);
}

} // namespace coriandergate::config
