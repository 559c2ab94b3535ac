#include "relay/TargetChoice.h"

#include "dispatch/TargetSearch.h"
#include "relay/RequestAdmission.h"
#include "testing/EntryFixture.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

namespace {

    using Regions = std::vector<std::string>;

    // An entry in region "west" with one target in each of two regions.
    struct Choice : testing::EntryFixture {
        Choice()
        {
            loadBalancer.setTargets({ { .address = "w", .service = "stock", .locality = s_locality },
                { .address = "e", .service = "stock", .locality = { "east", "east-a" } } });
            configure(1, {}, {});
            admitted.snapshot = context.snapshot;
            admitted.route = context.snapshot->route("orders");
            admitted.clientAccount = context.snapshot->clientAccount("shop");
        }

        auto configure(std::uint64_t version, const Regions& routeHomes, const Regions& accountHomes) -> void
        {
            config::Configuration configuration;
            configuration.version = version;
            configuration.routes.push_back({ .name = "orders", .service = "stock", .homeRegions = routeHomes });
            configuration.clientAccounts.push_back({ .name = "shop", .homeRegions = accountHomes });
            context.snapshot = std::make_shared<const PolicySnapshot>(std::move(configuration));
        }

        auto chosen() -> std::string
        {
            const auto target = choice.choose(dispatch::TargetSearch({}), true, now);
            return target ? target->description.address : "";
        }

        auto admits(std::size_t target) -> bool
        {
            return choice.admits(loadBalancer.targets("stock")[target]->description);
        }

        MonotonicTime now = monotonicNow();
        AdmittedRequest admitted;
        std::string service = "stock";
        TargetChoice choice { context, admitted, service };
    };

} // namespace

TEST_CASE("TargetChoice follows a configuration that changes the home regions after the request was admitted")
{
    Choice entry;
    CHECK(entry.chosen() == "w");
    entry.configure(2, { "east" }, {});
    CHECK(entry.chosen() == "e");
    CHECK_FALSE(entry.admits(0));
    CHECK(entry.admits(1));
    entry.configure(3, { "east", "west" }, { "west" });
    CHECK(entry.chosen() == "w");
    CHECK_FALSE(entry.admits(1));
    entry.configure(4, { "east" }, { "west" });
    CHECK(entry.chosen().empty());
    entry.configure(5, {}, {});
    CHECK(entry.admits(0));
    CHECK(entry.admits(1));
}

TEST_CASE("TargetChoice keeps to the home regions of an account and a route that are gone by now")
{
    Choice entry;
    entry.configure(2, { "east" }, { "east" });
    entry.admitted.snapshot = entry.context.snapshot;
    entry.admitted.route = entry.context.snapshot->route("orders");
    entry.admitted.clientAccount = entry.context.snapshot->clientAccount("shop");
    entry.context.snapshot = std::make_shared<const PolicySnapshot>(config::Configuration { .version = 3 });
    CHECK(entry.chosen() == "e");
}

TEST_CASE("TargetChoice refuses at once what has no target at home, and tells when one may be tried again")
{
    Choice entry;
    CHECK_FALSE(entry.choice.refusal(200ms, entry.now));
    entry.configure(2, { "north" }, {});
    const auto refusal = entry.choice.refusal(200ms, entry.now);
    REQUIRE(refusal);
    CHECK(refusal->status == 503);
    CHECK(refusal->retryAfter == entry.context.options.maximumRetryAfter);
    // The only home is out of reach for 700 ms.
    entry.configure(3, { "east" }, {});
    CHECK_FALSE(entry.choice.refusal(200ms, entry.now));
    entry.loadBalancer.recordPathFailure(*entry.loadBalancer.targets("stock")[1], entry.now);
    CHECK(entry.choice.refusal(200ms, entry.now)->retryAfter == 700ms);
    CHECK_FALSE(entry.choice.refusal(800ms, entry.now));
    CHECK_FALSE(entry.choice.refusal(200ms, entry.now + 600ms));
}

TEST_CASE("TargetChoice leaves out evacuated data centres, and refuses at once what they alone could serve")
{
    Choice entry;
    auto& evacuations = entry.context.evacuations;
    evacuations.begin("west-a", entry.now);
    CHECK(entry.chosen() == "e");
    CHECK_FALSE(entry.admits(0));
    CHECK_FALSE(entry.choice.refusal(200ms, entry.now));
    entry.configure(2, { "west" }, {});
    CHECK(entry.chosen().empty());
    CHECK(entry.choice.refusal(200ms, entry.now)->reason == evacuatedReason);
    entry.configure(3, { "north" }, {});
    CHECK(entry.choice.refusal(200ms, entry.now)->reason == noHomeTargetReason);
    entry.configure(4, {}, {});
    evacuations.begin("east-a", entry.now);
    CHECK(entry.chosen().empty());
    CHECK(entry.choice.refusal(200ms, entry.now)->reason == evacuatedReason);
    evacuations.end("east-a", entry.now);
    CHECK(entry.chosen() == "e");
    CHECK_FALSE(entry.choice.refusal(200ms, entry.now));
    // Without evacuations such a request waits for the path to recover, and so it does with them.
    entry.loadBalancer.recordPathFailure(*entry.loadBalancer.targets("stock")[1], entry.now);
    CHECK_FALSE(entry.choice.refusal(200ms, entry.now));
}

} // namespace coriandergate::relay
