#include "dispatch/RatePool.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <set>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;

namespace {

    constexpr auto window = 5s;
    const RateLimits limits { .window = window, .overage = 0.1, .slack = 20 };

    auto at(std::chrono::milliseconds time) -> MonotonicTime { return MonotonicTime(time); }

    auto hostNames(int count) -> std::vector<std::string>
    {
        std::vector<std::string> hosts;
        for (int i = 0; i < count; ++i)
            hosts.push_back("10.1.0." + std::to_string(i));
        return hosts;
    }

    auto makeAccount(double rate, double burst) -> config::ClientAccount
    {
        config::ClientAccount account;
        account.name = "account-7";
        account.ratePerSecond = rate;
        account.burst = burst;
        return account;
    }

    auto allowedInWindow(const config::ClientAccount& account) -> double
    {
        return (account.ratePerSecond * 5 + account.burst) * 1.1 + 20;
    }

} // namespace

TEST_CASE("every host finds the same homes, and few move when a host comes or goes")
{
    const auto hosts = hostNames(34);
    const auto more = hostNames(35);
    int moved = 0;
    for (int i = 0; i < 200; ++i) {
        const auto account = "account-" + std::to_string(i);
        const auto homes = rateHomes(account, hosts);
        CHECK(homes.size() == rateHomesOfRegion);
        CHECK(homes == rateHomes(account, hosts));
        moved += rateHomes(account, more) == homes ? 0 : 1;
    }
    CHECK(moved < 30);
    CHECK(rateHomes("account-1", hostNames(1)).size() == 1);
    CHECK(rateHomes("account-1", {}).empty());
}

// Load pattern: one account at 7.5 times its rate, over four homes; homes are killed and started again at random.
TEST_CASE("an account never gets more than its limit in any window, and nearly all of its rate")
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        const auto account = makeAccount(12, 12);
        const auto hosts = hostNames(17);
        const auto homes = rateHomes(account.name, hosts);
        std::mt19937 random(seed);
        std::vector<RatePool> pools;
        const RatePool::Options options { .limits = limits, .part = 0.25 };
        for (int i = 0; i < 4; ++i)
            pools.emplace_back(options, at(0ms));
        for (auto& pool : pools)
            pool.setHosts(hosts, at(0ms));
        std::deque<MonotonicTime> granted;
        int total = 0;
        for (int step = 0; step < 6000; ++step) {
            const auto now = at(step * 10ms);
            if (random() % 500 == 0) {
                auto& pool = pools[random() % pools.size()];
                pool = RatePool(options, now);
                pool.setHosts(hosts, now);
            }
            const auto which = random() % pools.size();
            const auto& self = homes[which % homes.size()];
            if (pools[which].take(account, self, now).isGranted) {
                granted.push_back(now);
                ++total;
            }
            while (!granted.empty() && granted.front() <= now - window)
                granted.pop_front();
            REQUIRE(static_cast<double>(granted.size()) <= allowedInWindow(account));
        }
        CHECK(total >= 12 * 60 * 80 / 100);
    }
}

TEST_CASE("a home that was none before hands out nothing until a former one must have noticed")
{
    const auto account = makeAccount(10, 10);
    const auto before = hostNames(10);
    auto after = before;
    const auto home = rateHomes(account.name, before).front();
    std::erase(after, home);
    std::string successor;
    for (const auto& candidate : rateHomes(account.name, after)) {
        const auto former = rateHomes(account.name, before);
        if (std::find(former.begin(), former.end(), candidate) == former.end())
            successor = candidate;
    }
    REQUIRE_FALSE(successor.empty());
    RatePool pool({ .limits = limits, .part = 0.25 }, at(0ms));
    pool.setHosts(before, at(0ms));
    pool.setHosts(after, at(20s));
    CHECK_FALSE(pool.take(account, successor, at(24999ms)).isGranted);
    CHECK_FALSE(pool.take(account, successor, at(25000ms)).isGranted);
    CHECK(pool.take(account, successor, at(25500ms)).isGranted);
}

TEST_CASE("a refusal says when the next request is there, and that is true")
{
    const auto account = makeAccount(8, 8);
    const auto hosts = hostNames(3);
    const auto home = rateHomes(account.name, hosts).front();
    RatePool pool({ .limits = limits, .part = 0.5 }, at(0ms));
    pool.setHosts(hosts, at(0ms));
    while (pool.take(account, home, at(60s)).isGranted) { }
    const auto refusal = pool.take(account, home, at(60s));
    CHECK(refusal.turnIn > 0ms);
    CHECK(refusal.turnIn <= 250ms);
    CHECK(pool.take(account, home, at(60s) + refusal.turnIn).isGranted);
}

TEST_CASE("a host that isn't a home grants nothing")
{
    const auto account = makeAccount(8, 8);
    RatePool pool({ .limits = limits, .part = 0.5 }, at(0ms));
    pool.setHosts(hostNames(3), at(0ms));
    CHECK_FALSE(pool.take(account, "10.9.0.1", at(60s)).isGranted);
}

} // namespace coriandergate::dispatch
