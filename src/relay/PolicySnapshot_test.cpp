#include "relay/PolicySnapshot.h"

#include "config/Configuration.h"
#include "testing/EntryFixture.h"

#include <catch2/catch.hpp>
#include <map>

namespace coriandergate::relay {

namespace {

    auto makeRoute(const std::vector<config::TrafficPart>& split) -> config::Route
    {
        config::Route route;
        route.name = "orders";
        route.service = split.empty() ? "plain" : "";
        route.split = split;
        return route;
    }

    // Shares of the services over `requests` of the route at each of `daemons`.
    auto measureShares(const config::Route& route, int daemons, int requests) -> std::map<std::string, double>
    {
        std::map<std::string, double> shares;
        for (int daemon = 0; daemon < daemons; ++daemon) {
            testing::EntryFixture entry;
            entry.context.random.seed(static_cast<std::uint64_t>(daemon) + 1);
            for (int i = 0; i < requests; ++i)
                shares[PolicySnapshot::chooseService(route, entry.context.nextSplitPosition(route.name))]
                    += 1.0 / (daemons * requests);
        }
        return shares;
    }

} // namespace

// Load pattern: a split that many daemons carry out, each with a few requests, must keep its weights over all of them.
TEST_CASE("the services of a split get their weights' shares within 0.02 of 2,000 requests, at one daemon or at many")
{
    const auto weights = GENERATE(std::vector<double> { 90, 10 }, std::vector<double> { 1, 1 },
        std::vector<double> { 50, 30, 20 }, std::vector<double> { 1, 0 });
    const auto daemons = GENERATE(1, 20, 100);
    std::vector<config::TrafficPart> split;
    double total = 0;
    for (const auto weight : weights) {
        split.push_back({ "service-" + std::to_string(split.size()), weight });
        total += weight;
    }
    auto shares = measureShares(makeRoute(split), daemons, 2000 / daemons);
    for (const auto& part : split)
        CHECK(shares[part.service] == Approx(part.weight / total).margin(0.02));
}

TEST_CASE(
    "a configuration that changes weights, or replaces a split by a service and back, holds from the next request")
{
    CHECK(measureShares(makeRoute({ { "a", 1 }, { "b", 9 } }), 1, 2000)["a"] == Approx(0.1).margin(0.02));
    CHECK(measureShares(makeRoute({ { "a", 9 }, { "b", 1 } }), 1, 2000)["a"] == Approx(0.9).margin(0.02));
    CHECK(measureShares(makeRoute({}), 1, 20)["plain"] == Approx(1));
    testing::EntryFixture entry;
    const auto split = makeRoute({ { "a", 1 }, { "b", 1 } });
    int countOfA = 0;
    for (int i = 0; i < 1000; ++i) {
        countOfA += PolicySnapshot::chooseService(split, entry.context.nextSplitPosition("orders")) == "a" ? 1 : 0;
        CHECK(PolicySnapshot::chooseService(makeRoute({}), entry.context.nextSplitPosition("orders")) == "plain");
    }
    CHECK(countOfA == Approx(500).margin(20));
}

TEST_CASE("a service has little slack if a route to it has a deadline below three target latencies")
{
    using namespace std::chrono_literals;
    const auto slackOf = [](std::chrono::milliseconds deadline, const std::vector<config::TrafficPart>& split) {
        config::Configuration configuration;
        auto route = makeRoute(split);
        route.targetLatency = 1000ms;
        route.deadline = 10s;
        configuration.routes.push_back(route);
        route.name = "late-orders";
        route.deadline = deadline;
        configuration.routes.push_back(route);
        return PolicySnapshot(configuration);
    };
    CHECK(slackOf(2999ms, {}).hasLittleSlack("plain"));
    CHECK_FALSE(slackOf(3000ms, {}).hasLittleSlack("plain"));
    CHECK_FALSE(slackOf(2999ms, {}).hasLittleSlack("unknown"));
    for (const auto* service : { "a", "b" })
        CHECK(slackOf(2500ms, { { "a", 1 }, { "b", 9 } }).hasLittleSlack(service));
}

TEST_CASE("an account weighs what its rate is, and without a limit as much as the largest")
{
    config::Configuration configuration;
    configuration.clientAccounts.push_back({ .name = "small", .ratePerSecond = 2 });
    configuration.clientAccounts.push_back({ .name = "large", .ratePerSecond = 40 });
    configuration.clientAccounts.push_back({ .name = "unlimited", .ratePerSecond = 1, .isUnlimited = true });
    configuration.clientAccounts.push_back({ .name = "closed", .ratePerSecond = 0 });
    const PolicySnapshot snapshot(configuration);
    const auto weightOf
        = [&snapshot](std::string_view name) { return snapshot.accountWeight(*snapshot.clientAccount(name)); };
    CHECK(weightOf("small") == 2);
    CHECK(weightOf("large") == 40);
    CHECK(weightOf("unlimited") == 40);
    CHECK(weightOf("closed") == 1);
    const PolicySnapshot without({ .clientAccounts = { { .name = "unlimited", .isUnlimited = true } } });
    CHECK(without.accountWeight(*without.clientAccount("unlimited")) == 1);
}

} // namespace coriandergate::relay
