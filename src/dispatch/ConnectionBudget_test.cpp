#include "dispatch/ConnectionBudget.h"

#include <catch2/catch.hpp>
#include <map>

using namespace coriandergate;
using coriandergate::dispatch::ConnectionBudget;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * kilobyte;
constexpr MonotonicTime start {};

auto arriving(std::size_t bytes) -> ConnectionBudget::Usage { return { .arriving = bytes }; }

// Refuses what the budget selects, as a server does, and returns who was refused.
auto refuseSelected(ConnectionBudget& budget, MonotonicTime now) -> std::map<ConnectionBudget::ConnectionId, int>
{
    std::map<ConnectionBudget::ConnectionId, int> refused;
    while (const auto id = budget.selectForBytes(now)) {
        ++refused[*id];
        budget.set(*id, {}, now);
    }
    return refused;
}

} // namespace

// Replays clients that stop just short of the end of their bodies while ordinary requests come and go beside them.
TEST_CASE("bodies that stop short give way, and small and moving requests beside them don't")
{
    ConnectionBudget budget({ .maximumBytes = 8 * megabyte });
    constexpr ConnectionBudget::ConnectionId crowd = 40;
    auto now = start;
    for (ConnectionBudget::ConnectionId id = 0; id < crowd; ++id)
        budget.open(id, now);
    std::size_t refusedInCrowd = 0;
    for (std::size_t round = 0; round < 400; ++round) {
        now += 10ms;
        // Each of the crowd has a megabyte by round 100 and then sends no more; refused ones begin again.
        for (ConnectionBudget::ConnectionId id = 0; id < crowd; ++id)
            budget.set(id, arriving(std::min(round, std::size_t { 100 }) * 10 * kilobyte), now);
        const auto ordinary = crowd + round;
        budget.open(ordinary, now);
        budget.set(ordinary, arriving(4 * kilobyte), now);
        const auto refused = refuseSelected(budget, now);
        CHECK(refused.count(ordinary) == 0);
        refusedInCrowd += refused.size();
        CHECK(budget.bytes() <= 10 * megabyte);
        budget.recordRequest(ordinary, now);
        budget.set(ordinary, { .handled = 4 * kilobyte }, now);
        CHECK(refuseSelected(budget, now).count(ordinary) == 0);
        budget.close(ordinary);
    }
    CHECK(refusedInCrowd > 0);
}

TEST_CASE("the one that has held the most for the longest time gives way, not the last one")
{
    ConnectionBudget budget({ .maximumBytes = 2 * megabyte });
    for (ConnectionBudget::ConnectionId id = 1; id <= 3; ++id)
        budget.open(id, start);
    budget.set(1, arriving(900 * kilobyte), start); // large and old
    budget.set(2, arriving(100 * kilobyte), start); // old
    budget.set(3, arriving(1500 * kilobyte), start + 10s); // larger, and has just come
    CHECK(budget.selectForBytes(start + 10s) == 1);
    budget.set(1, {}, start + 10s);
    CHECK_FALSE(budget.selectForBytes(start + 10s));
}

TEST_CASE("bytes of an unfinished request are no progress, and a response that is being read is")
{
    ConnectionBudget budget({ .maximumBytes = megabyte });
    for (const ConnectionBudget::ConnectionId id : { 1, 2 })
        budget.open(id, start);
    budget.set(1, arriving(500 * kilobyte), start);
    budget.set(2, { .unread = 600 * kilobyte }, start);
    for (int second = 1; second <= 10; ++second) {
        budget.set(1, arriving((500 + static_cast<std::size_t>(second)) * kilobyte), start + second * 1s);
        budget.recordTaken(2, start + second * 1s);
    }
    CHECK(budget.selectForBytes(start + 10s) == 1);
}

TEST_CASE("requests that are being handled don't give way, and what arrives beside them does")
{
    ConnectionBudget budget({ .maximumBytes = megabyte });
    for (const ConnectionBudget::ConnectionId id : { 1, 2, 3 })
        budget.open(id, start);
    budget.set(1, { .handled = megabyte }, start);
    budget.set(2, arriving(100 * kilobyte), start + 5s);
    CHECK(budget.selectForBytes(start + 5s) == 2);
    budget.set(2, {}, start + 5s);
    budget.set(3, arriving(8 * kilobyte), start + 5s); // a small one has room beyond the limit
    CHECK_FALSE(budget.selectForBytes(start + 5s));
    budget.set(1, { .handled = 2 * megabyte }, start + 6s);
    CHECK(budget.selectForBytes(start + 6s) == 3);
    budget.close(3);
    CHECK_FALSE(budget.selectForBytes(start + 6s));
}

TEST_CASE("one that is about to give way on another thread is not selected again, and its bytes count as released")
{
    ConnectionBudget budget({ .maximumBytes = megabyte });
    for (const ConnectionBudget::ConnectionId id : { 1, 2 })
        budget.open(id, start);
    budget.set(1, arriving(800 * kilobyte), start);
    budget.set(2, arriving(700 * kilobyte), start);
    REQUIRE(budget.selectForBytes(start + 1s) == 1);
    budget.beginRelease(1);
    CHECK_FALSE(budget.selectForBytes(start + 1s));
    budget.set(1, arriving(800 * kilobyte), start + 1s); // it could not give way
    CHECK(budget.selectForBytes(start + 1s) == 1);
    budget.beginRelease(1);
    budget.close(1);
    CHECK(budget.bytes() == 700 * kilobyte);
    CHECK_FALSE(budget.selectForBytes(start + 1s));
}

// Replays connections that say nothing until every place is taken.
TEST_CASE("for a new connection one that never sent a request closes first, then the one that is idle for longest")
{
    ConnectionBudget budget({ .maximumConnections = 5 });
    for (ConnectionBudget::ConnectionId id = 1; id <= 5; ++id) {
        CHECK(budget.hasRoomForConnection());
        budget.open(id, start + std::chrono::seconds(id));
    }
    CHECK_FALSE(budget.hasRoomForConnection());
    budget.recordRequest(1, start + 10s);
    budget.recordRequest(2, start + 11s);
    budget.recordRequest(5, start + 12s);
    budget.set(5, { .handled = kilobyte }, start + 12s);
    for (const ConnectionBudget::ConnectionId expected : { 3, 4, 1, 2 }) {
        const auto selected = budget.selectForConnection();
        REQUIRE(selected == expected);
        budget.close(*selected);
    }
    CHECK_FALSE(budget.selectForConnection()); // the last one has a request under way
}
