#include "member/GossipNode.h"

#include "base/Error.h"
#include "member/GossipCodec.h"
#include "member/MemberProfile.h"
#include "testing/GossipLoop.h"

#include <catch2/catch.hpp>

using namespace coriandergate;
using namespace coriandergate::member;
using namespace coriandergate::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodeCount = 24;

auto makeLoop(std::uint64_t seed, double lossRate = 0) -> std::unique_ptr<GossipLoop>
{
    return std::make_unique<GossipLoop>(GossipLoop::Options {
        .nodes = nodeCount, .dataCentres = 4, .regions = 2, .lossRate = lossRate, .usesCodec = true, .seed = seed });
}

auto isFromRegion(std::size_t node, std::size_t region) -> bool { return node % 4 % 2 == region; }

}

TEST_CASE("daemons that start from seed addresses discover all members and their targets")
{
    const auto seed = GENERATE(range(1, 6));
    CAPTURE(seed);
    auto loop = makeLoop(static_cast<std::uint64_t>(seed));
    CHECK(loop->runUntil([&] { return loop->areViewsWhole(); }, 120s));
    loop->announce(5, "new-service");
    CHECK(loop->runUntil([&] { return loop->countKnowing(5, "new-service") == nodeCount - 1; }, 60s));
    CHECK(loop->totals().deaths == 0);
}

TEST_CASE("all daemons mark a killed daemon dead and mark it alive after its restart")
{
    const auto seed = GENERATE(range(1, 6));
    CAPTURE(seed);
    auto loop = makeLoop(static_cast<std::uint64_t>(seed));
    REQUIRE(loop->runUntil([&] { return loop->areViewsWhole(); }, 120s));
    loop->stop(7);
    CHECK(loop->runUntil([&] { return loop->countBelieving(7, MemberState::Dead) == nodeCount - 1; }, 60s));
    CHECK(loop->areViewsWhole());
    loop->start(7);
    CHECK(loop->runUntil([&] { return loop->areViewsWhole(); }, 120s));
}

TEST_CASE("datagram loss causes no death because suspicions are refuted")
{
    const auto seed = GENERATE(range(1, 6));
    CAPTURE(seed);
    auto loop = makeLoop(static_cast<std::uint64_t>(seed), 0.05);
    REQUIRE(loop->runUntil([&] { return loop->areViewsWhole(); }, 120s));
    loop->run(120s);
    CHECK(loop->totals().deaths == 0);
    CHECK(loop->runUntil([&] { return loop->areViewsWhole(); }, 120s));
}

TEST_CASE("a daemon resumed after a pause suspects no member and all members mark it alive again")
{
    const auto pause = GENERATE(2s, 5s, 30s);
    CAPTURE(pause.count());
    auto loop = makeLoop(3);
    REQUIRE(loop->runUntil([&] { return loop->areViewsWhole(); }, 120s));
    loop->pause(4);
    loop->run(pause);
    loop->resume(4);
    const auto suspicionsBefore = loop->node(4).counters().suspicions;
    loop->run(1s);
    CHECK(loop->runUntil([&] { return loop->areViewsWhole(); }, 120s));
    CHECK(loop->node(4).counters().suspicions == suspicionsBefore);
    CHECK(loop->node(4).counters().pauses == 1);
}

TEST_CASE("membership converges after a two-way or one-way partition between regions heals")
{
    const auto isOneWay = GENERATE(false, true);
    const auto duration = GENERATE(20s, 300s);
    CAPTURE(isOneWay, duration.count());
    auto loop = makeLoop(4);
    REQUIRE(loop->runUntil([&] { return loop->areViewsWhole(); }, 120s));
    loop->cut([isOneWay](std::size_t from, std::size_t to) {
        const auto crossesRegions = isFromRegion(from, 0) != isFromRegion(to, 0);
        return crossesRegions && (!isOneWay || isFromRegion(from, 0));
    });
    loop->run(duration);
    loop->announce(2, "announced-in-between");
    loop->cut({});
    CHECK(loop->runUntil([&] { return loop->areViewsWhole(); }, 300s));
    CHECK(loop->countKnowing(2, "announced-in-between") == nodeCount - 1);
}

TEST_CASE("a daemon that can send but not receive does not cause other members to be declared dead")
{
    auto loop = makeLoop(5);
    REQUIRE(loop->runUntil([&] { return loop->areViewsWhole(); }, 120s));
    loop->cut([](std::size_t, std::size_t to) { return to == 6; });
    loop->run(60s);
    CHECK(loop->node(6).isIsolated(loop->now()));
    for (std::size_t node = 0; node < nodeCount; ++node) {
        CAPTURE(node);
        CHECK(loop->countBelieving(node, MemberState::Dead) >= (node == 6 ? nodeCount - 1 : 0));
        CHECK(loop->countBelieving(node, MemberState::Dead) <= (node == 6 ? nodeCount - 1 : 1));
    }
    loop->cut({});
    CHECK(loop->runUntil([&] { return loop->areViewsWhole(); }, 300s));
}

TEST_CASE("all daemons learn of raised versions and of a daemon that leaves")
{
    auto loop = makeLoop(6);
    REQUIRE(loop->runUntil([&] { return loop->areViewsWhole(); }, 120s));
    loop->node(3).raiseKnownVersions(42, 7);
    CHECK(loop->runUntil(
        [&] {
            for (std::size_t node = 0; node < nodeCount; ++node) {
                if (loop->node(node).configurationVersion() != 42 || loop->node(node).seatEpoch() != 7)
                    return false;
            }
            return true;
        },
        60s));
    loop->node(3).raiseKnownVersions(41, 6);
    CHECK(loop->node(3).configurationVersion() == 42);
    static_cast<void>(loop->node(8).leave(loop->now()));
    CHECK(loop->runUntil([&] { return loop->countBelieving(8, MemberState::Leaving) == nodeCount - 1; }, 30s));
}

TEST_CASE("a node that receives a higher generation for its own address adopts the next one")
{
    const MonotonicTime now { 100s };
    GossipNode node({ .identity = { "10.0.0.1:1", 1 }, .generation = 5 }, now);
    GossipMessage message;
    message.sender.address = "10.0.0.2:1";
    message.updates.push_back({ "10.0.0.1:1", 9, 2, MemberState::Alive, 1, nullptr });
    static_cast<void>(node.receive(message, now));
    CHECK(node.self().generation == 10);
}

TEST_CASE("messages survive encoding and decoding while truncated input is rejected and altered input is safe")
{
    auto profile = std::make_shared<MemberProfile>();
    *profile = { 9, { "region", "dc" }, { { "ledger", "10.0.0.1:9000", 6 }, { "ledger", "10.0.0.9:9001", 7 } } };
    GossipMessage message;
    message.sender = { "10.0.0.1:7101", 3, 1, MemberState::Alive, 2, profile };
    message.configurationVersion = 1ULL << 40;
    message.updates.push_back({ "[fd00::1]:7101", 4, 0, MemberState::Dead, 0, nullptr });
    const auto body = GENERATE(as<GossipBody> {}, Ping { 1 }, Ack { 2 }, IndirectPing { 3, "10.0.0.4:1" },
        UpdatesOnly {}, ExchangeDigest { { 1, 2, 3 } }, ExchangeVersions {}, ExchangePull { { "10.0.0.4:1" } },
        ExchangeProfiles {});
    message.body = body;
    const auto bytes = encodeGossip(message);
    Error reason;
    const auto decoded = decodeGossip(bytes, reason);
    REQUIRE(decoded);
    CHECK(encodeGossip(*decoded) == bytes);
    CHECK(*decoded->sender.profile == *profile);
    CHECK(estimatedEncodedBytes(message.sender) >= bytes.size() / 2);
    std::mt19937 random(11);
    for (std::size_t cut = 0; cut < bytes.size(); ++cut)
        CHECK_FALSE(decodeGossip(std::span(bytes).first(cut), reason));
    for (int round = 0; round < 1000; ++round) {
        auto changed = bytes;
        changed[random() % changed.size()] = static_cast<std::uint8_t>(random());
        static_cast<void>(decodeGossip(changed, reason));
    }
    CHECK_FALSE(decodeGossip(std::vector<std::uint8_t>(60000, 0x81), reason));
}
