#include "fleet/CatchUp.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

// Seen on a played day: a host whose question for the rows hung refused 426 requests, though the store answered it.
TEST_CASE("rows that change all the time, and aren't told, are asked for before their news is too old")
{
    constexpr auto tooOld = 4400ms;
    constexpr auto answerEvery = 1900ms; // on the other table, at the slowest
    constexpr auto storeTakes = 300ms;
    auto newsOf = 0ms;
    std::uint64_t told = 1;
    auto oldest = 0ms;
    for (auto now = answerEvery; now < 60s; now += answerEvery) {
        const auto newest = static_cast<std::uint64_t>(now.count()); // each answer tells of newer changes
        oldest = std::max(oldest, std::chrono::duration_cast<std::chrono::milliseconds>(now - newsOf));
        if (!isCatchUpDue(told, newest, now - newsOf))
            continue;
        oldest = std::max(oldest, std::chrono::duration_cast<std::chrono::milliseconds>(now + storeTakes - newsOf));
        newsOf = now;
        told = newest;
    }
    CHECK(oldest < tooOld);
}

TEST_CASE("rows that were told, or only just changed, aren't asked for")
{
    CHECK_FALSE(isCatchUpDue(7, 7, 9000ms));
    CHECK_FALSE(isCatchUpDue(6, 7, 800ms));
    CHECK(isCatchUpDue(6, 7, 1300ms));
    CHECK(isCatchUpDue(6, 7, std::nullopt));
}

} // namespace coriandergate::fleet
