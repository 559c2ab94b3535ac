#include "member/TargetRegistry.h"

#include "base/Error.h"
#include "member/HostAddress.h"

#include <catch2/catch.hpp>

using namespace coriandergate;
using namespace coriandergate::member;
using namespace std::chrono_literals;

namespace {

const MonotonicTime startTime { 1000s };
const TargetAnnouncement ledger { "ledger", "10.0.0.7:9001", 6, 1 };

}

TEST_CASE("a host address is an IP address and a port")
{
    CHECK(parseHostAddress("10.0.0.7:80") == HostAddress { "10.0.0.7", 80 });
    CHECK(parseHostAddress("[fd00::7]:80") == HostAddress { "fd00::7", 80 });
    for (const auto* const text : { "", "10.0.0.7", "10.0.0.7:", "10.0.0.7:0", "10.0.0.7:65536", "10.0.0.7:8x",
             "host:80", "fd00::7:80", "[10.0.0.7]:80", ":80" }) {
        CAPTURE(text);
        CHECK_FALSE(parseHostAddress(text));
    }
}

TEST_CASE("an announcement with an invalid field is rejected with an error that names the field")
{
    struct Case {
        TargetAnnouncement announcement;
        std::string field;
    };
    const auto row
        = GENERATE(Case { { "", "10.0.0.7:1", 6 }, "service" }, Case { { "a b", "10.0.0.7:1", 6 }, "service" },
            Case { { std::string(129, 'a'), "10.0.0.7:1", 6 }, "service" }, Case { { "a", "host:1", 6 }, "address" },
            Case { { "a", "10.0.0.7:1", 0 }, "slots" }, Case { { "a", "10.0.0.7:1", 1025 }, "slots" });
    TargetRegistry registry({});
    Error reason;
    CHECK_FALSE(registry.announce(row.announcement, startTime, reason));
    CHECK(reason.reason.find(row.field) != std::string::npos);
    CHECK(registry.version() == 0);
}

TEST_CASE("a target expires without renewal and only changes increase the version")
{
    TargetRegistry registry({});
    Error reason;
    REQUIRE(registry.announce(ledger, startTime, reason));
    REQUIRE(registry.announce(ledger, startTime + 2s, reason));
    CHECK(registry.version() == 1);
    CHECK(registry.targetsOf("ledger", startTime + 4999ms).size() == 1);
    CHECK(registry.targetsOf("ledger", startTime + 5s).empty());
    CHECK(registry.expire(startTime + 4999ms) == 0);
    CHECK(registry.expire(startTime + 5s) == 1);
    CHECK(registry.version() == 2);
    CHECK(registry.snapshot(startTime + 5s).targets.empty());
}

TEST_CASE("a leaving target drains at once and only a new incarnation can register before it expires")
{
    TargetRegistry registry({});
    Error reason;
    CHECK_FALSE(registry.leave(ledger.address, startTime));
    REQUIRE(registry.announce(ledger, startTime, reason));
    REQUIRE(registry.leave(ledger.address, startTime + 1s));
    CHECK(registry.find("ledger", ledger.address, startTime + 1s)->state == TargetState::Draining);
    CHECK_FALSE(registry.announce(ledger, startTime + 2s, reason));
    CHECK(reason.reason == "the target is leaving");
    CHECK(registry.targetsOf("ledger", startTime + 4s).empty());
    auto restarted = ledger;
    restarted.incarnation = 2;
    REQUIRE(registry.announce(restarted, startTime + 3s, reason));
    CHECK(registry.find("ledger", ledger.address, startTime + 3s)->state == TargetState::Serving);
}

TEST_CASE("the number of targets per host is limited and expired targets free capacity")
{
    TargetRegistry registry({ .maximumTargets = 2 });
    Error reason;
    REQUIRE(registry.announce({ "a", "10.0.0.7:1", 1 }, startTime, reason));
    REQUIRE(registry.announce({ "b", "10.0.0.7:1", 1 }, startTime, reason));
    CHECK_FALSE(registry.announce({ "c", "10.0.0.7:1", 1 }, startTime, reason));
    CHECK(registry.expire(startTime + 3s) == 2);
    REQUIRE(registry.announce({ "c", "10.0.0.7:1", 1 }, startTime + 3s, reason));
    const auto snapshot = registry.snapshot(startTime + 3s);
    REQUIRE(snapshot.targets.size() == 1);
    CHECK(snapshot.version == registry.version());
}
