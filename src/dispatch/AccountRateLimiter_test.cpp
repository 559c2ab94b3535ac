#include "dispatch/AccountRateLimiter.h"

#include <algorithm>
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

    // Store time of the tests; hosts that joined at 0 are past their join delay.
    constexpr auto storeTime = 100000ms;

    auto makeHosts(int count) -> std::vector<RateLimitHost>
    {
        std::vector<RateLimitHost> hosts;
        for (int i = 0; i < count; ++i)
            hosts.push_back({ "10.1.0." + std::to_string(i), 0ms });
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

    // Returns a name that makes a host an owner of `account` when it is added to `hosts`.
    auto makeOwnerName(const std::string& account, std::vector<RateLimitHost> hosts, std::mt19937& random)
        -> std::string
    {
        hosts.emplace_back();
        for (;;) {
            const auto name = "10.2." + std::to_string(random() % 256) + "." + std::to_string(random() % 256);
            hosts.back().host = name;
            const auto owners = rateLimitOwners(account, hosts, storeTime);
            if (std::find(owners.begin(), owners.end(), name) != owners.end())
                return name;
        }
    }

    // Removes the grants up to and including `time`.
    auto removeGrantsUntil(std::deque<MonotonicTime>& granted, MonotonicTime time) -> void
    {
        while (!granted.empty() && granted.front() <= time)
            granted.pop_front();
    }

    // The most requests that `limits` allow in a window.
    auto windowLimit(const config::ClientAccount& account) -> double
    {
        return (account.ratePerSecond * 5 + account.burst) * 1.1 + 20;
    }

} // namespace

TEST_CASE("every host computes the same owners, and few accounts change owners when a host joins or leaves")
{
    const auto hosts = makeHosts(34);
    const auto hostsAfterJoin = makeHosts(35);
    int changedOwners = 0;
    for (int i = 0; i < 200; ++i) {
        const auto account = "account-" + std::to_string(i);
        const auto owners = rateLimitOwners(account, hosts, storeTime);
        CHECK(owners.size() == rateLimitOwnersPerRegion);
        CHECK(owners == rateLimitOwners(account, hosts, storeTime));
        changedOwners += rateLimitOwners(account, hostsAfterJoin, storeTime) == owners ? 0 : 1;
    }
    CHECK(changedOwners < 30);
    CHECK(rateLimitOwners("account-1", makeHosts(1), storeTime).size() == 1);
    CHECK(rateLimitOwners("account-1", {}, storeTime).empty());
}

// Load pattern: one account at 7.5 times its rate, over four owners that are killed and restarted at random.
TEST_CASE("an account never exceeds its limit in any window, and gets nearly all of its rate")
{
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        const auto account = makeAccount(12, 12);
        const auto hosts = makeHosts(17);
        const auto owners = rateLimitOwners(account.name, hosts, storeTime);
        std::mt19937 random(seed);
        std::vector<AccountRateLimiter> limiters;
        const AccountRateLimiter::Options options { .limits = limits, .fraction = 0.25 };
        for (int i = 0; i < 4; ++i)
            limiters.emplace_back(options, at(0ms));
        for (auto& limiter : limiters)
            limiter.setHosts(hosts, at(0ms));
        std::deque<MonotonicTime> granted;
        int total = 0;
        for (int step = 0; step < 6000; ++step) {
            const auto now = at(step * 10ms);
            if (random() % 500 == 0) {
                auto& limiter = limiters[random() % limiters.size()];
                limiter = AccountRateLimiter(options, now);
                limiter.setHosts(hosts, now);
            }
            const auto index = random() % limiters.size();
            const auto& self = owners[index % owners.size()];
            if (limiters[index].tryAcquire(account, self, storeTime, now).isGranted) {
                granted.push_back(now);
                ++total;
            }
            removeGrantsUntil(granted, now - window);
            REQUIRE(static_cast<double>(granted.size()) <= windowLimit(account));
        }
        CHECK(total >= 12 * 60 * 80 / 100); // 80 % of 12 requests per second for 60 s
    }
}

namespace {

    // Returns how many requests are refused in the first second after all owners restart while callers continue at the
    // account's rate, summed over twenty seeds.
    auto refusedAfterRestart(const config::ClientAccount& account, const RateLimits& rateLimits) -> int
    {
        const auto hosts = makeHosts(17);
        const auto owners = rateLimitOwners(account.name, hosts, storeTime);
        int refused = 0;
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            std::mt19937 random(seed);
            std::vector<AccountRateLimiter> limiters(
                4, AccountRateLimiter({ .limits = rateLimits, .fraction = 0.25 }, at(0ms)));
            for (auto& limiter : limiters)
                limiter.setHosts(hosts, at(0ms));
            std::exponential_distribution<double> gap(account.ratePerSecond);
            for (double elapsed = gap(random); elapsed < 1; elapsed += gap(random)) {
                const auto now = MonotonicTime(std::chrono::microseconds(static_cast<int>(elapsed * 1e6)));
                // An entry daemon asks both owners of its own region, then one of the other region.
                std::vector<std::size_t> order { 0, 1, 2 + random() % 2 };
                std::shuffle(order.begin(), order.begin() + 2, random);
                const bool isGranted = std::any_of(order.begin(), order.end(), [&](std::size_t index) {
                    return limiters[index].tryAcquire(account, owners[index % 2], storeTime, now).isGranted;
                });
                refused += isGranted ? 0 : 1;
            }
        }
        return refused;
    }

} // namespace

// Load pattern: all owners are killed and restarted while callers continue at the account's rate. The baseline starts
// with empty buckets: of 58, 256 and 1,832 requests it refuses 58, 122 and 239.
TEST_CASE("after all owners restart an account within its rate is rarely refused")
{
    const auto rate = GENERATE(3.0, 12.0, 90.0);
    const auto account = makeAccount(rate, rate);
    auto baseline = limits;
    baseline.initialFraction = 0;
    CHECK(4 * refusedAfterRestart(account, limits) <= refusedAfterRestart(account, baseline));
}

// Load pattern: an account at many times its rate; all owners are killed repeatedly, soon after they start to serve.
TEST_CASE("owners that restart twice within a window keep the account within its limit")
{
    const auto rate = GENERATE(1.0, 7.0, 90.0);
    const auto ownerCount = GENERATE(4, 6);
    const auto account = makeAccount(rate, rate);
    const auto hosts = makeHosts(17);
    const auto owners = rateLimitOwners(account.name, hosts, storeTime);
    const AccountRateLimiter::Options options { .limits = limits, .fraction = 1.0 / ownerCount };
    std::vector<AccountRateLimiter> limiters(
        static_cast<std::size_t>(ownerCount), AccountRateLimiter(options, at(0ms)));
    for (auto& limiter : limiters)
        limiter.setHosts(hosts, at(0ms));
    std::deque<MonotonicTime> granted;
    constexpr auto downTime = 500ms;
    for (auto elapsed = 0ms; elapsed < 60s; elapsed += 5ms) {
        const auto now = at(elapsed);
        // No restarts until the buckets are full, then two in every five seconds.
        const bool hasRestarts = elapsed > 20s;
        if (hasRestarts && elapsed % 2500ms == downTime) {
            for (auto& limiter : limiters) {
                limiter = AccountRateLimiter(options, now);
                limiter.setHosts(hosts, now);
            }
        }
        if (elapsed < 19900ms || (hasRestarts && elapsed % 2500ms < downTime))
            continue;
        for (std::size_t index = 0; index < limiters.size(); ++index) {
            if (limiters[index].tryAcquire(account, owners[index % 2], storeTime, now).isGranted)
                granted.push_back(now);
        }
        removeGrantsUntil(granted, now - window);
        INFO("after " << elapsed.count() << " ms");
        REQUIRE(static_cast<double>(granted.size()) <= windowLimit(account));
    }
}

TEST_CASE("a new owner grants nothing until the handover delay has passed")
{
    const auto account = makeAccount(10, 10);
    const auto before = makeHosts(10);
    auto after = before;
    const auto owner = rateLimitOwners(account.name, before, storeTime).front();
    std::erase_if(after, [&owner](const RateLimitHost& host) { return host.host == owner; });
    std::string newOwner;
    for (const auto& candidate : rateLimitOwners(account.name, after, storeTime)) {
        const auto former = rateLimitOwners(account.name, before, storeTime);
        if (std::find(former.begin(), former.end(), candidate) == former.end())
            newOwner = candidate;
    }
    REQUIRE_FALSE(newOwner.empty());
    AccountRateLimiter limiter({ .limits = limits, .fraction = 0.25 }, at(0ms));
    limiter.setHosts(before, at(0ms));
    limiter.setHosts(after, at(20s));
    CHECK_FALSE(limiter.tryAcquire(account, newOwner, storeTime, at(24999ms)).isGranted);
    CHECK_FALSE(limiter.tryAcquire(account, newOwner, storeTime, at(25000ms)).isGranted);
    CHECK(limiter.tryAcquire(account, newOwner, storeTime, at(25500ms)).isGranted);
}

// Regression test: a new owner that served its first request of an account some time after becoming its owner had
// accumulated a burst beside the former owner.
TEST_CASE("a host that becomes an owner when its join delay ends starts empty, whenever its first request comes")
{
    const auto account = makeAccount(10, 10);
    std::mt19937 random(1);
    auto hosts = makeHosts(10);
    hosts.push_back({ makeOwnerName(account.name, hosts, random), storeTime });
    const auto& newOwner = hosts.back().host;
    AccountRateLimiter limiter({ .limits = limits, .fraction = 0.5 }, at(0ms));
    limiter.setHosts(hosts, at(100ms));
    int granted = 0;
    while (
        granted < 100 && limiter.tryAcquire(account, newOwner, storeTime + ownerJoinDelay + 10ms, at(6010ms)).isGranted)
        ++granted;
    CHECK(granted == 0);
    CHECK(limiter.tryAcquire(account, newOwner, storeTime + ownerJoinDelay + 300ms, at(6300ms)).isGranted);
}

// Load pattern: one account at several times its rate while hosts join. Every owner uses its own copy of the list of
// hosts, up to four seconds old. Without the join delay, owners would hand over when a host learns of the new host, and
// have to wait at that point.
TEST_CASE("while hosts join an account gets nearly all of its rate and never exceeds its limit")
{
    const auto account = makeAccount(100, 100);
    constexpr auto joinInterval = 2500ms;
    constexpr int initialHosts = 14;
    constexpr int joiningHosts = 8;
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
        std::mt19937 random(seed);
        auto all = makeHosts(initialHosts);
        for (int i = 0; i < joiningHosts; ++i)
            all.push_back({ makeOwnerName(account.name, all, random), storeTime + (i + 1) * joinInterval });
        std::vector<AccountRateLimiter> limiters(
            all.size(), AccountRateLimiter({ .limits = limits, .fraction = 0.5 }, at(0ms)));
        std::vector<std::chrono::milliseconds> listAge;
        for (std::size_t i = 0; i < all.size(); ++i)
            listAge.emplace_back(random() % 4000);
        std::deque<MonotonicTime> granted;
        int total = 0;
        for (auto elapsed = 0ms; elapsed < 40s; elapsed += 5ms) {
            const auto now = at(elapsed);
            const auto currentStoreTime = storeTime + elapsed;
            std::vector<RateLimitHost> entryHosts;
            for (const auto& host : all) {
                if (host.joinedAt + 300ms <= currentStoreTime)
                    entryHosts.push_back(host);
            }
            const auto owners = rateLimitOwners(account.name, entryHosts, currentStoreTime);
            const auto& owner = owners[random() % owners.size()];
            for (std::size_t i = 0; i < all.size(); ++i) {
                if (all[i].host != owner)
                    continue;
                std::vector<RateLimitHost> ownerHosts;
                for (const auto& host : all) {
                    if (host.joinedAt + (host.host == owner ? 0ms : listAge[i]) <= currentStoreTime)
                        ownerHosts.push_back(host);
                }
                if (i >= initialHosts && now < at(all[i].joinedAt - storeTime + 400ms)) {
                    // A host knows the others before it announces itself.
                    auto others = ownerHosts;
                    std::erase_if(others, [&owner](const RateLimitHost& host) { return host.host == owner; });
                    limiters[i].setHosts(others, now);
                }
                limiters[i].setHosts(ownerHosts, now);
                if (limiters[i].tryAcquire(account, owner, currentStoreTime, now).isGranted) {
                    granted.push_back(now);
                    ++total;
                }
            }
            removeGrantsUntil(granted, now - window);
            REQUIRE(static_cast<double>(granted.size()) <= windowLimit(account));
        }
        INFO(total << " granted");
        CHECK(total >= 100 * 40 * 99 / 100); // 99 % of 100 requests per second for 40 s
    }
}

TEST_CASE("a refusal reports correctly when the next request is granted")
{
    const auto account = makeAccount(8, 8);
    const auto hosts = makeHosts(3);
    const auto owner = rateLimitOwners(account.name, hosts, storeTime).front();
    AccountRateLimiter limiter({ .limits = limits, .fraction = 0.5 }, at(0ms));
    limiter.setHosts(hosts, at(0ms));
    while (limiter.tryAcquire(account, owner, storeTime, at(60s)).isGranted) { }
    const auto refusal = limiter.tryAcquire(account, owner, storeTime, at(60s));
    REQUIRE(refusal.retryAfter);
    CHECK(*refusal.retryAfter > 0ms);
    CHECK(*refusal.retryAfter <= 250ms);
    CHECK(limiter.tryAcquire(account, owner, storeTime, at(60s) + *refusal.retryAfter).isGranted);
}

TEST_CASE("a host that isn't an owner grants nothing")
{
    const auto account = makeAccount(8, 8);
    AccountRateLimiter limiter({ .limits = limits, .fraction = 0.5 }, at(0ms));
    limiter.setHosts(makeHosts(3), at(0ms));
    CHECK_FALSE(limiter.tryAcquire(account, "10.9.0.1", storeTime, at(60s)).isGranted);
}

} // namespace coriandergate::dispatch
