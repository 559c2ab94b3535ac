#include "fleet/VersionProof.h"

#include "fleet/StoreVersion.h"

#include <catch2/catch.hpp>

namespace coriandergate::fleet {

namespace {

    auto makeResponse(std::uint64_t newest, const std::vector<std::uint64_t>& versions) -> StoreResponse
    {
        StoreResponse response;
        response.newestVersion = newest;
        for (const auto version : versions)
            response.rows.push_back({ "row-" + std::to_string(response.rows.size()), "", version, false });
        return response;
    }

} // namespace

TEST_CASE("a response proves another table unchanged if it accounts for every newer version")
{
    CHECK(provesUnchanged(7, makeResponse(7, {})));
    CHECK(provesUnchanged(7, makeResponse(9, { 8, 9 })));
    CHECK(provesUnchanged(7, makeResponse(9, { 3, 5, 8, 9 }))); // a snapshot with mostly older rows
    CHECK(provesUnchanged(9, makeResponse(7, {}))); // the response is older than the known version
}

// Guards against a new configuration that a host passes over for good: a relay that had missed a removal sent it with
// the version of the configuration.
TEST_CASE("a removed row accounts for no version")
{
    auto response = makeResponse(8, { 8 });
    REQUIRE(provesUnchanged(7, response));
    response.rows.back().isRemoved = true;
    CHECK_FALSE(provesUnchanged(7, response));
}

TEST_CASE("a response with an unaccounted version proves nothing about another table")
{
    CHECK_FALSE(provesUnchanged(7, makeResponse(8, {})));
    CHECK_FALSE(provesUnchanged(7, makeResponse(9, { 9 })));
    // Two rows of one transaction share a version, so the other version may belong to the other table.
    CHECK_FALSE(provesUnchanged(7, makeResponse(9, { 8, 8 })));
    CHECK_FALSE(provesUnchanged(7, makeResponse(9, { 3, 8 })));
}

// Guards against a table that is never read anew: the restored store has other content under the known version.
TEST_CASE("a response of a later era proves nothing about a table that was read in an earlier one")
{
    CHECK_FALSE(provesUnchanged(makeVersion(0, 7), makeResponse(makeVersion(1, 7), {})));
    CHECK_FALSE(provesUnchanged(makeVersion(0, 7), makeResponse(makeVersion(1, 4), { makeVersion(1, 4) })));
    CHECK_FALSE(provesUnchanged(makeVersion(1, 7), makeResponse(makeVersion(2, 8), { makeVersion(2, 8) })));
    CHECK(provesUnchanged(makeVersion(1, 7), makeResponse(makeVersion(1, 8), { makeVersion(1, 8) })));
}

} // namespace coriandergate::fleet
