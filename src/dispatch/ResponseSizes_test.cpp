#include "dispatch/ResponseSizes.h"

#include <catch2/catch.hpp>

namespace coriandergate::dispatch {

TEST_CASE("distance counts more for routes with large responses, up to a bound")
{
    ResponseSizes sizes({ .doublingBytes = 1000, .maximumFactor = 3 });
    CHECK(sizes.distanceFactor("small") == 1);
    for (int i = 0; i < 200; ++i) {
        sizes.record("small", 0);
        sizes.record("medium", 1000);
        sizes.record("large", 1000000);
    }
    CHECK(sizes.distanceFactor("small") == 1);
    CHECK(sizes.distanceFactor("medium") == Approx(2).epsilon(0.01));
    CHECK(sizes.distanceFactor("large") == 3);
}

} // namespace coriandergate::dispatch
