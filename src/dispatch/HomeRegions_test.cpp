#include "dispatch/HomeRegions.h"

#include <catch2/catch.hpp>

namespace coriandergate::dispatch {

TEST_CASE("without home regions a request may be executed anywhere")
{
    CHECK(HomeRegions().isAnywhere());
    CHECK(HomeRegions(std::vector<std::string> {}).allows("west"));
    CHECK(HomeRegions().allows(""));
}

TEST_CASE("home regions allow only themselves, and never a region that isn't known")
{
    const HomeRegions homes({ "west", "north", "west" });
    CHECK_FALSE(homes.isAnywhere());
    CHECK(homes.allows("west"));
    CHECK(homes.allows("north"));
    CHECK_FALSE(homes.allows("east"));
    CHECK_FALSE(homes.allows(""));
    CHECK(homes.toText() == "north,west");
}

TEST_CASE("the home regions of a route and of an account both bind")
{
    const HomeRegions route({ "west", "north" });
    CHECK(route.intersection(HomeRegions()) == route);
    CHECK(HomeRegions().intersection(route) == route);
    CHECK(route.intersection(HomeRegions({ "north", "east" })) == HomeRegions({ "north" }));
    const auto nowhere = route.intersection(HomeRegions({ "east" }));
    CHECK_FALSE(nowhere.isAnywhere());
    CHECK_FALSE(nowhere.allows("west"));
    CHECK_FALSE(nowhere.allows("east"));
    CHECK_FALSE(nowhere.intersection(route).allows("west"));
}

} // namespace coriandergate::dispatch
