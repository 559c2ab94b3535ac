#include "member/TargetRegistry.h"

#include "base/Error.h"
#include "member/HostAddress.h"

#include <catch2/catch.hpp>

using namespace coriandergate;
using namespace coriandergate::member;
using namespace std::chrono_literals;

namespace {

const MonotonicTime start { 1000s };
const TargetAnnouncement ledger { "ledger", "10.0.0.7:9001", 6, 1 };

}

TEST_CASE("a host address is an IP number and a port")
{
    CHECK(parseHostAddress("10.0.0.7:80") == HostAddress { "10.0.0.7", 80 });
    CHECK(parseHostAddress("[fd00::7]:80") == HostAddress { "fd00::7", 80 });
    for (const auto* const text : { "", "10.0.0.7", "10.0.0.7:", "10.0.0.7:0", "10.0.0.7:65536", "10.0.0.7:8x",
             "host:80", "fd00::7:80", "[10.0.0.7]:80", ":80" }) {
        CAPTURE(text);
        CHECK_FALSE(parseHostAddress(text));
    }
}

TEST_CASE("an announcement out of range is refused with the field named")
{
    struct Case {
        TargetAnnouncement announcement;
        std::string word;
    };
    const auto row
        = GENERATE(Case { { "", "10.0.0.7:1", 6 }, "service" }, Case { { "a b", "10.0.0.7:1", 6 }, "service" },
            Case { { std::string(129, 'a'), "10.0.0.7:1", 6 }, "service" }, Case { { "a", "host:1", 6 }, "address" },
            Case { { "a", "10.0.0.7:1", 0 }, "slots" }, Case { { "a", "10.0.0.7:1", 1025 }, "slots" });
    TargetRegistry registry({});
    Error reason;
    CHECK_FALSE(registry.announce(row.announcement, start, reason));
    CHECK(reason.reason.find(row.word) != std::string::npos);
    CHECK(registry.version() == 0);
}

TEST_CASE("a target expires unless it renews, and only changes count as versions")
{
    TargetRegistry registry({});
    Error reason;
    REQUIRE(registry.announce(ledger, start, reason));
    REQUIRE(registry.announce(ledger, start + 2s, reason));
    CHECK(registry.version() == 1);
    CHECK(registry.targetsOf("ledger", start + 4999ms).size() == 1);
    CHECK(registry.targetsOf("ledger", start + 5s).empty());
    CHECK(registry.expire(start + 4999ms) == 0);
    CHECK(registry.expire(start + 5s) == 1);
    CHECK(registry.version() == 2);
    CHECK(registry.snapshot(start + 5s).targets.empty());
}

TEST_CASE("a leaving target drains at once and only its next run comes back before it has expired")
{
    TargetRegistry registry({});
    Error reason;
    CHECK_FALSE(registry.leave(ledger.address, start));
    REQUIRE(registry.announce(ledger, start, reason));
    REQUIRE(registry.leave(ledger.address, start + 1s));
    CHECK(registry.find("ledger", ledger.address, start + 1s)->state == TargetState::Draining);
    CHECK_FALSE(registry.announce(ledger, start + 2s, reason));
    CHECK(reason.reason == "the target is leaving");
    CHECK(registry.targetsOf("ledger", start + 4s).empty());
    auto nextRun = ledger;
    nextRun.incarnation = 2;
    REQUIRE(registry.announce(nextRun, start + 3s, reason));
    CHECK(registry.find("ledger", ledger.address, start + 3s)->state == TargetState::Serving);
}

TEST_CASE("a host has a bounded number of targets, and an expired one makes room")
{
    TargetRegistry registry({ .maximumTargets = 2 });
    Error reason;
    REQUIRE(registry.announce({ "a", "10.0.0.7:1", 1 }, start, reason));
    REQUIRE(registry.announce({ "b", "10.0.0.7:1", 1 }, start, reason));
    CHECK_FALSE(registry.announce({ "c", "10.0.0.7:1", 1 }, start, reason));
    CHECK(registry.expire(start + 3s) == 2);
    REQUIRE(registry.announce({ "c", "10.0.0.7:1", 1 }, start + 3s, reason));
    const auto snapshot = registry.snapshot(start + 3s);
    REQUIRE(snapshot.targets.size() == 1);
    CHECK(snapshot.version == registry.version());
}
