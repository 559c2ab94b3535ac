#include "relay/PeerMessages.h"

#include <catch2/catch.hpp>

namespace coriandergate::relay {

using namespace std::chrono_literals;

TEST_CASE("the limit of arrivals travels beside the load report, which older daemons read as before")
{
    const TargetLoadReport report { .load = { 3, 1, 10 }, .rejectionRate = 0.25, .arrivals = { { 15, 4 } } };
    CHECK(encodeLoadReport(report) == "3,1,10,25");
    const auto load = decodeLoadReport(encodeLoadReport(report));
    REQUIRE(load);
    CHECK_FALSE(load->nextProbeIn);
    CHECK_FALSE(load->arrivals);
    CHECK(encodeArrivals(*report.arrivals) == "15,4");
    CHECK(decodeArrivals("15,4") == report.arrivals);
    for (const auto* text : { "", "15", "15,", ",4", "15,4,1", "15, 4", "-1,4", "a,b" })
        CHECK_FALSE(decodeArrivals(text));
}

} // namespace coriandergate::relay
