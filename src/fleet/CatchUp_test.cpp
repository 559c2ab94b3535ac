#include "fleet/CatchUp.h"

#include "fleet/StoreVersion.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

// Guards against a watch on the host rows that is stuck while the store responds on the other table: a host rejected
// 426 requests because its host rows were too old.
TEST_CASE("continuous changes of a table whose watch is stuck are requested before the table is too old")
{
    constexpr auto maximumAge = 4400ms;
    constexpr auto responseInterval = 1900ms; // on the other table, at most
    constexpr auto storeLatency = 300ms;
    auto lastResponseAt = 0ms;
    std::uint64_t observedVersion = 1;
    auto greatestAge = 0ms;
    for (auto now = responseInterval; now < 60s; now += responseInterval) {
        const auto newestVersion = static_cast<std::uint64_t>(now.count()); // newer in each response
        greatestAge
            = std::max(greatestAge, std::chrono::duration_cast<std::chrono::milliseconds>(now - lastResponseAt));
        if (!isCatchUpDue(observedVersion, newestVersion, now - lastResponseAt))
            continue;
        greatestAge = std::max(
            greatestAge, std::chrono::duration_cast<std::chrono::milliseconds>(now + storeLatency - lastResponseAt));
        lastResponseAt = now;
        observedVersion = newestVersion;
    }
    CHECK(greatestAge < maximumAge);
}

TEST_CASE("changes that were received or are recent aren't requested")
{
    CHECK_FALSE(isCatchUpDue(7, 7, 9000ms));
    CHECK_FALSE(isCatchUpDue(6, 7, 800ms));
    CHECK(isCatchUpDue(6, 7, 1300ms));
    CHECK(isCatchUpDue(6, 7, std::nullopt));
}

TEST_CASE("a table of an earlier era is behind, also when the restored store's version is lower")
{
    CHECK(isCatchUpDue(makeVersion(0, 7), makeVersion(1, 4), 1300ms));
    CHECK_FALSE(isCatchUpDue(makeVersion(1, 4), makeVersion(0, 7), 1300ms));
}

} // namespace coriandergate::fleet
