// Measures how client accounts' limits are shared, against two naive ways, over the same seeded traffic, and prints a
// table. It opens no socket, and ends by itself after some tens of seconds.
#include "testing/ShareLoop.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>

using namespace coriandergate;
using namespace std::chrono_literals;
using testing::ShareLoop;
using testing::ShareLoopOptions;
using testing::ShareLoopResult;
using testing::ShareScheme;

namespace {

constexpr std::size_t daemonCount = 64;
constexpr std::size_t accountCount = 200;

// Rates fall with the account's rank; each account sends 70% of its rate and may burst for a second.
auto skewedAccounts() -> std::vector<testing::ShareLoopAccount>
{
    std::vector<testing::ShareLoopAccount> accounts;
    for (std::size_t rank = 1; rank <= accountCount; ++rank) {
        const auto rate = std::max(2.0, 400.0 / std::pow(static_cast<double>(rank), 0.9));
        accounts.push_back({ "account-" + std::to_string(rank), rate, std::max(10.0, std::floor(rate)), rate * 0.7 });
    }
    return accounts;
}

enum class Scenario {
    Steady,
    HolderDies,
    HolderDiesStoreAway,
    OneAtFiveTimes,
};

auto nameOf(Scenario scenario) -> const char*
{
    switch (scenario) {
    case Scenario::Steady:
        return "steady";
    case Scenario::HolderDies:
        return "daemon dies, 10 s after";
    case Scenario::HolderDiesStoreAway:
        return "same, store away";
    case Scenario::OneAtFiveTimes:
        return "one account at 5 times";
    }
    return "";
}

auto nameOf(ShareScheme scheme) -> const char*
{
    switch (scheme) {
    case ShareScheme::Leased:
        return "leased";
    case ShareScheme::StaticSplit:
        return "static split";
    case ShareScheme::CentralBucket:
        return "central bucket";
    }
    return "";
}

auto measure(Scenario scenario, ShareScheme scheme, std::uint64_t seed) -> ShareLoopResult
{
    ShareLoopOptions options;
    options.seed = seed;
    options.scheme = scheme;
    options.daemons = daemonCount;
    options.seats = daemonCount;
    options.duration = 21s;
    options.measureFrom = 10s;
    options.accounts = skewedAccounts();
    if (scenario == Scenario::OneAtFiveTimes)
        options.accounts[3].offeredPerSecond = options.accounts[3].ratePerSecond * 5;
    ShareLoop loop(options);
    if (scenario == Scenario::HolderDiesStoreAway)
        loop.at(5s, [&loop] { loop.setStoreAway(true); });
    if (scenario == Scenario::HolderDies || scenario == Scenario::HolderDiesStoreAway)
        loop.at(10s, [&loop, seed] { loop.kill(seed * 11 % daemonCount); });
    return loop.run();
}

auto percent(std::uint64_t part, std::uint64_t whole) -> double
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

// In milliseconds.
auto waitAt(const std::vector<std::chrono::microseconds>& sorted, std::size_t percentile) -> double
{
    if (sorted.empty())
        return 0;
    return static_cast<double>(sorted[sorted.size() * percentile / 100].count()) / 1000;
}

auto farPercent(const std::vector<std::chrono::microseconds>& sorted) -> double
{
    const auto far = sorted.end() - std::upper_bound(sorted.begin(), sorted.end(), 3600us);
    return percent(static_cast<std::uint64_t>(far), sorted.size());
}

auto print(Scenario scenario, ShareScheme scheme, const std::vector<ShareLoopResult>& results) -> void
{
    ShareLoopResult sum;
    for (const auto& result : results) {
        sum.aboveLimit += result.aboveLimit;
        sum.requests += result.requests;
        sum.wrongful += result.wrongful;
        sum.allRequests += result.allRequests;
        sum.messages += result.messages;
        sum.bytes += result.bytes;
        sum.late += result.late;
        sum.worstAccount = std::max(sum.worstAccount, result.worstAccount);
        sum.overloadedShare = std::min(sum.overloadedShare, result.overloadedShare);
        sum.longestGap = std::max(sum.longestGap, result.longestGap);
        sum.waits.insert(sum.waits.end(), result.waits.begin(), result.waits.end());
    }
    const auto asked = static_cast<double>(sum.allRequests);
    std::sort(sum.waits.begin(), sum.waits.end());
    std::printf("%-24s %-15s %6llu %10.3f %8.2f %8.2f %7lld %8.2f %9.0f %8.2f %8.2f %8.2f %7.2f %6llu\n",
        nameOf(scenario), nameOf(scheme), static_cast<unsigned long long>(sum.aboveLimit),
        percent(sum.wrongful, sum.requests), 100 * sum.worstAccount, sum.overloadedShare,
        static_cast<long long>(sum.longestGap.count()), static_cast<double>(sum.messages) / asked,
        static_cast<double>(sum.bytes) / asked, waitAt(sum.waits, 50), waitAt(sum.waits, 90), waitAt(sum.waits, 99),
        farPercent(sum.waits), static_cast<unsigned long long>(sum.late));
}

} // namespace

auto main() -> int
{
    std::printf("%zu daemons in 4 data centres of 2 regions, %zu accounts, 3 seeds each\n", daemonCount, accountCount);
    std::printf("%-24s %-15s %6s %10s %8s %8s %7s %8s %9s %8s %8s %8s %7s %6s\n", "scenario", "scheme", "above",
        "wrongful%", "worst%", "overload", "gap ms", "msgs/req", "bytes/req", "wait p50", "p90 ms", "p99 ms", ">3.6ms%",
        "late");
    for (const auto scenario :
        { Scenario::Steady, Scenario::HolderDies, Scenario::HolderDiesStoreAway, Scenario::OneAtFiveTimes }) {
        for (const auto scheme : { ShareScheme::Leased, ShareScheme::StaticSplit, ShareScheme::CentralBucket }) {
            std::vector<ShareLoopResult> results;
            for (std::uint64_t seed = 1; seed <= 3; ++seed)
                results.push_back(measure(scenario, scheme, seed));
            print(scenario, scheme, results);
        }
    }
    return 0;
}
