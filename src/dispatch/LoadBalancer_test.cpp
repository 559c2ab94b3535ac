#include "dispatch/LoadBalancer.h"

#include <catch2/catch.hpp>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;

namespace {

    const Locality here { "west", "west-a" };
    const Locality nextDoor { "west", "west-b" };
    const Locality far { "east", "east-a" };
    constexpr std::size_t slots = 5;

    auto at(std::chrono::milliseconds time) -> MonotonicTime { return MonotonicTime(time); }

    auto describe(const std::string& address, const Locality& locality) -> LoadBalancer::Description
    {
        return { .address = address, .service = "ledger", .locality = locality, .slots = slots };
    }

    auto makeBoard(const std::vector<LoadBalancer::Description>& targets) -> LoadBalancer
    {
        LoadBalancer board({ .ownLocality = here });
        board.setTargets(targets);
        return board;
    }

    auto tell(LoadBalancer& board, const std::string& address, std::size_t running, MonotonicTime now) -> void
    {
        for (const auto& target : board.targets("ledger")) {
            if (target->description.address == address)
                board.recordLoad(*target, { running, 0, slots }, 0, now);
        }
    }

    auto chosen(const LoadBalancer& board, MonotonicTime now, bool isRepeatable = false) -> std::string
    {
        const auto target = board.choose({ .service = "ledger", .mayProbe = isRepeatable }, now, 7);
        return target ? target->description.address : "";
    }

} // namespace

TEST_CASE("the data centre's own targets serve until they are much fuller than those next door")
{
    auto board = makeBoard({ describe("own", here), describe("next", nextDoor), describe("far", far) });
    const auto now = at(1000ms);
    tell(board, "own", 2, now);
    tell(board, "next", 1, now);
    tell(board, "far", 0, now);
    CHECK(chosen(board, now) == "own");
    tell(board, "own", 5, now);
    CHECK(chosen(board, now) == "next");
    tell(board, "next", 5, now);
    tell(board, "own", 8, now);
    CHECK(chosen(board, now) == "far");
}

TEST_CASE("an answer that is costly to carry is fetched farther away only when it must be")
{
    auto board = makeBoard({ describe("own", here), describe("next", nextDoor) });
    const auto now = at(1000ms);
    tell(board, "own", 4, now);
    tell(board, "next", 1, now);
    CHECK(board.choose({ .service = "ledger" }, now, 7)->description.address == "next");
    CHECK(board.choose({ .service = "ledger", .distanceFactor = 2.5 }, now, 7)->description.address == "own");
    board.recordPathFailure(*board.targets("ledger")[0], now);
    CHECK(board.choose({ .service = "ledger", .distanceFactor = 2.5 }, now, 7)->description.address == "next");
}

TEST_CASE("requests that this entry began count before the target tells of them")
{
    auto board = makeBoard({ describe("a", here), describe("b", here) });
    const auto now = at(1000ms);
    tell(board, "a", 0, now);
    tell(board, "b", 1, now);
    for (int i = 0; i < 2; ++i)
        board.beginRequest(*board.targets("ledger").front());
    CHECK(chosen(board, now) == "b");
}

TEST_CASE("what a target told fades towards what the others tell")
{
    auto board = makeBoard({ describe("a", here), describe("b", here), describe("c", here) });
    tell(board, "a", 5, at(0ms));
    tell(board, "b", 4, at(0ms));
    tell(board, "c", 4, at(0ms));
    CHECK(chosen(board, at(0ms)) != "a");
    tell(board, "b", 4, at(10000ms));
    tell(board, "c", 1, at(10000ms));
    CHECK(board.estimatedUtilization(
              *board.targets("ledger")[0], board.meanUtilization("ledger", at(10000ms)), at(10000ms))
        == Approx(0.5).epsilon(0.01));
}

// A target that nobody has asked yet must not look fuller than idle ones, or nobody ever asks it.
TEST_CASE("a target that joined gets its part although the others tell that they are idle")
{
    auto board = makeBoard({ describe("a", here), describe("b", here) });
    tell(board, "a", 0, at(0ms));
    int joined = 0;
    for (std::uint64_t random = 0; random < 50; ++random)
        joined += board.choose({ .service = "ledger" }, at(0ms), random * 977)->description.address == "b" ? 1 : 0;
    CHECK(joined > 10);
}

TEST_CASE("a path that failed isn't tried for longer each time, until the target is reached")
{
    auto board = makeBoard({ describe("a", here) });
    auto& target = *board.targets("ledger").front();
    board.recordPathFailure(target, at(0ms));
    CHECK(chosen(board, at(699ms)).empty());
    CHECK(chosen(board, at(700ms)) == "a");
    board.recordPathFailure(target, at(700ms));
    CHECK(chosen(board, at(2099ms)).empty());
    CHECK(chosen(board, at(2100ms)) == "a");
    board.recordPathSuccess(target);
    board.recordPathFailure(target, at(3000ms));
    CHECK(chosen(board, at(3700ms)) == "a");
}

TEST_CASE("a daemon counts as unreached only while it is tried and never answers")
{
    auto board = makeBoard({ describe("a", here) });
    auto& target = *board.targets("ledger").front();
    CHECK_FALSE(board.isUnreachableFor("a", 30s, at(60s)));
    for (int i = 0; i <= 8; ++i)
        board.recordPathFailure(target, at(i * 5s));
    CHECK(board.isUnreachableFor("a", 30s, at(41s)));
    CHECK_FALSE(board.isUnreachableFor("a", 30s, at(120s)));
    board.recordPathSuccess(target);
    board.recordPathFailure(target, at(42s));
    CHECK_FALSE(board.isUnreachableFor("a", 30s, at(43s)));
    CHECK_FALSE(board.isUnreachableFor("unknown", 30s, at(43s)));
}

TEST_CASE("a failing target gets only repeatable requests, once its trial is due")
{
    auto board = makeBoard({ describe("a", here), describe("b", here), describe("c", here) });
    board.recordFailing(*board.targets("ledger").front(), 500ms, at(0ms));
    for (int i = 0; i < 20; ++i)
        CHECK(board.choose({ .service = "ledger" }, at(600ms), static_cast<std::uint64_t>(i))->description.address
            != "a");
    CHECK(chosen(board, at(400ms), true) != "a");
    CHECK(chosen(board, at(600ms), true) == "a");
}

// Seen on a played day: marks that no news renewed left more and more targets out, until most seemed to fail.
TEST_CASE("a failing mark that no news renews expires")
{
    auto board = makeBoard({ describe("a", here) });
    board.recordFailing(*board.targets("ledger").front(), 500ms, at(0ms));
    CHECK(board.isInPanicMode("ledger", at(1499ms)));
    CHECK_FALSE(board.isInPanicMode("ledger", at(1500ms)));
    CHECK(chosen(board, at(1500ms)) == "a");
}

TEST_CASE("when most targets of a service fail, none is left out for it")
{
    auto board = makeBoard({ describe("a", here), describe("b", here), describe("c", here) });
    const auto targets = board.targets("ledger");
    board.recordFailing(*targets[0], 500ms, at(0ms));
    CHECK_FALSE(board.isInPanicMode("ledger", at(0ms)));
    board.recordFailing(*targets[1], 500ms, at(0ms));
    CHECK(board.isInPanicMode("ledger", at(0ms)));
    board.recordFailing(*targets[2], 500ms, at(0ms));
    CHECK_FALSE(chosen(board, at(0ms)).empty());
}

// Load pattern: every target of a service refuses half of what reaches it.
TEST_CASE("a target that refuses costs more, and all that refuse alike are all used")
{
    auto board = makeBoard({ describe("a", here), describe("b", nextDoor) });
    const auto now = at(0ms);
    board.recordLoad(*board.targets("ledger")[0], { 1, 0, slots }, 0.55, now);
    board.recordLoad(*board.targets("ledger")[1], { 1, 0, slots }, 0, now);
    CHECK(chosen(board, now) == "b");
    board.recordLoad(*board.targets("ledger")[1], { 1, 0, slots }, 0.55, now);
    CHECK(chosen(board, now) == "a");
}

TEST_CASE("a target that leaves, or was tried already, isn't chosen, and what is known of others survives news")
{
    auto board = makeBoard({ describe("a", here), describe("b", here) });
    board.recordPathFailure(*board.targets("ledger")[1], at(0ms));
    auto leaving = describe("a", here);
    leaving.isLeaving = true;
    board.setTargets({ leaving, describe("b", here) });
    CHECK(chosen(board, at(100ms)).empty());
    CHECK(chosen(board, at(700ms)) == "b");
    const std::vector<std::string> excluded { "b" };
    CHECK_FALSE(board.choose({ .service = "ledger", .excluded = excluded }, at(700ms), 1));
}

} // namespace coriandergate::dispatch
