#include "fleet/VersionProof.h"

#include <catch2/catch.hpp>

namespace coriandergate::fleet {

namespace {

    auto makeAnswer(std::uint64_t newest, const std::vector<std::uint64_t>& versions) -> StoreResponse
    {
        StoreResponse answer;
        answer.newestVersion = newest;
        for (const auto version : versions)
            answer.rows.push_back({ "row-" + std::to_string(answer.rows.size()), "", version, false });
        return answer;
    }

} // namespace

TEST_CASE("an answer proves another table unchanged when it accounts for every newer version")
{
    CHECK(provesUnchanged(7, makeAnswer(7, {})));
    CHECK(provesUnchanged(7, makeAnswer(9, { 8, 9 })));
    CHECK(provesUnchanged(7, makeAnswer(9, { 3, 5, 8, 9 }))); // a whole table, most of it older
    CHECK(provesUnchanged(9, makeAnswer(7, {}))); // overtaken
}

TEST_CASE("an answer proves nothing of another table while a version isn't accounted for")
{
    CHECK_FALSE(provesUnchanged(7, makeAnswer(8, {})));
    CHECK_FALSE(provesUnchanged(7, makeAnswer(9, { 9 })));
    // Two rows of one transaction are one version: the other one may be of the other table.
    CHECK_FALSE(provesUnchanged(7, makeAnswer(9, { 8, 8 })));
    CHECK_FALSE(provesUnchanged(7, makeAnswer(9, { 3, 8 })));
}

} // namespace coriandergate::fleet
