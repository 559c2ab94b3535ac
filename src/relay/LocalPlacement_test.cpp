#include "relay/LocalPlacement.h"

#include "relay/PeerMessages.h"
#include "testing/EntryFixture.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

namespace {

    // The host is in region "west". Version 5 keeps the route "east" and the account "shop" elsewhere.
    struct Host : testing::EntryFixture {
        Host()
        {
            config::Configuration configuration;
            configuration.version = 5;
            configuration.routes.push_back({ .name = "east", .pathPrefix = "/east/", .homeRegions = { "east" } });
            configuration.routes.push_back(
                { .name = "both", .pathPrefix = "/both/", .homeRegions = { "east", "west" } });
            configuration.routes.push_back({ .name = "free", .pathPrefix = "/free/" });
            configuration.clientAccounts.push_back({ .name = "shop", .homeRegions = { "east" } });
            configuration.clientAccounts.push_back({ .name = "mill" });
            context.snapshot = std::make_shared<const PolicySnapshot>(std::move(configuration));
        }

        auto objects(const std::string& path, const std::string& account, std::uint64_t version) -> bool
        {
            RunRequest message;
            message.request.target = path;
            message.clientAccount = account;
            message.configurationVersion = version;
            return !LocalPlacement(context).objection(message).empty();
        }
    };

} // namespace

TEST_CASE("a host refuses requests that a newer configuration than the entry's keeps in other regions")
{
    Host host;
    REQUIRE(host.context.locality.region == "west");
    CHECK(host.objects("/east/1", "", 4));
    CHECK(host.objects("/free/1", "shop", 4));
    CHECK(host.objects("/both/1", "shop", 4));
    CHECK_FALSE(host.objects("/both/1", "mill", 4));
    CHECK_FALSE(host.objects("/free/1", "", 4));
    CHECK_FALSE(host.objects("/gone/1", "gone", 4));
}

TEST_CASE("a host leaves home regions to an entry whose configuration is as new as its own")
{
    Host host;
    CHECK_FALSE(host.objects("/east/1", "shop", 5));
    CHECK_FALSE(host.objects("/east/1", "shop", 6));
    host.context.snapshot = nullptr;
    CHECK_FALSE(host.objects("/east/1", "shop", 0));
}

TEST_CASE("a host of an evacuated data centre refuses every request, whatever the entry knows")
{
    Host host;
    host.context.evacuations.begin("west-b", monotonicNow());
    CHECK_FALSE(host.objects("/free/1", "mill", 5));
    host.context.evacuations.begin("west-a", monotonicNow());
    CHECK(host.objects("/free/1", "mill", 5));
    CHECK(host.objects("/free/1", "", 6));
    host.context.evacuations.end("west-a", monotonicNow());
    CHECK_FALSE(host.objects("/free/1", "mill", 5));
}

} // namespace coriandergate::relay
