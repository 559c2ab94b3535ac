#include "testing/ShareLoop.h"

#include <catch2/catch.hpp>

#include <random>

using namespace coriandergate;
using namespace std::chrono_literals;
using testing::ShareLoop;
using testing::ShareLoopOptions;

namespace {

auto mixedAccounts() -> std::vector<testing::ShareLoopAccount>
{
    return { { "large", 200, 100, 140 }, { "greedy", 40, 20, 200 }, { "small", 5, 8, 3 }, { "single", 10, 1, 30 },
        { "tight", 50, 4, 100 }, { "wide", 60, 200, 300 } };
}

auto baseOptions(std::uint64_t seed) -> ShareLoopOptions
{
    ShareLoopOptions options;
    options.seed = seed;
    options.daemons = 8;
    options.seats = 8;
    options.duration = 12s;
    options.measureFrom = 4s;
    options.measureUntil = 11s;
    options.accounts = mixedAccounts();
    return options;
}

} // namespace

TEST_CASE("no account gets above its limit, and no seat two holders, under any mix of faults")
{
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        auto options = baseOptions(seed);
        options.lossChance = 0.05;
        options.repeatChance = 0.05;
        options.slowChance = 0.02;
        options.mapSpread = seed % 3 == 0 ? 3000ms : 100ms;
        ShareLoop loop(options);
        std::mt19937_64 random(seed);
        const auto any = [&random](std::uint64_t bound) { return static_cast<std::size_t>(random() % bound); };
        for (auto fault = 0; fault < 8; ++fault) {
            const auto time = 1000ms + std::chrono::milliseconds { any(9000) };
            const auto one = any(8);
            const auto other = any(8);
            switch (any(5)) {
            case 0:
                loop.at(time, [&loop, one] { loop.kill(one); });
                loop.at(time + 600ms, [&loop, one] { loop.restart(one); });
                break;
            case 1:
                loop.at(time, [&loop, one] { loop.pause(one, 2500ms); });
                break;
            case 2:
                loop.at(time, [&loop, one, other] { loop.block(one, other); });
                loop.at(time + 3000ms, [&loop] { loop.unblock(); });
                break;
            case 3:
                for (std::size_t peer = 0; peer < 8; peer += 2)
                    loop.at(time, [&loop, one, peer] { loop.block(one, peer); });
                break;
            default:
                loop.at(time, [&loop] { loop.setStoreAway(true); });
                loop.at(time + 4000ms, [&loop] { loop.setStoreAway(false); });
            }
        }
        const auto result = loop.run();
        INFO("seed " << seed);
        CHECK(result.aboveLimit == 0);
        CHECK(result.doubleHolds == 0);
        CHECK(result.allRequests > 1000);
    }
}

TEST_CASE("a seat passes to its first guard while the store is away")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        auto options = baseOptions(seed);
        ShareLoop loop(options);
        loop.at(2s, [&loop] { loop.setStoreAway(true); });
        loop.at(5s, [&loop] { loop.kill(loop.holderOf("large")); });
        const auto result = loop.run();
        INFO("seed " << seed);
        CHECK(result.aboveLimit == 0);
        CHECK(result.doubleHolds == 0);
        CHECK(result.longestGap < 5s);
        CHECK(result.wrongful < result.requests / 2);
    }
}

TEST_CASE("a holder that hears no answers gives its seat up, and a paused one finds that it has")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        ShareLoop loop(baseOptions(seed));
        loop.at(2s, [&loop] { loop.setStoreAway(true); });
        loop.at(3s, [&loop] {
            for (std::size_t peer = 0; peer < 8; ++peer)
                loop.block(peer, loop.holderOf("large"));
            loop.pause(loop.holderOf("wide"), 6s);
        });
        const auto result = loop.run();
        INFO("seed " << seed);
        CHECK(result.aboveLimit == 0);
        CHECK(result.doubleHolds == 0);
        CHECK(result.longestGap < 7s);
    }
}

TEST_CASE("in steady state an account within its rate is hardly refused, whatever others send")
{
    auto options = baseOptions(5);
    options.accounts = { { "a", 100, 100, 70 }, { "b", 20, 30, 14 }, { "greedy", 40, 40, 200 } };
    const auto result = ShareLoop(options).run();
    CHECK(result.aboveLimit == 0);
    CHECK(result.wrongful * 1000 < result.requests);
    CHECK(result.overloadedShare > 0.9);
}
