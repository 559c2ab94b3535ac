#include "dispatch/TargetSearch.h"

#include <catch2/catch.hpp>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;

namespace {

    auto makeTarget(const std::string& name) -> LoadBalancer::TargetPointer
    {
        auto target = std::make_shared<LoadBalancer::Target>();
        target->description = { .address = name + ":1", .hostKey = "host-" + name, .targetId = name };
        return target;
    }

    // Targets in the order of their cost; choose() returns the first one that the search doesn't exclude.
    struct Service {
        explicit Service(const std::vector<std::string>& names)
        {
            for (const auto& name : names)
                targets.push_back(makeTarget(name));
        }

        auto next(TargetSearch& search) const -> LoadBalancer::TargetPointer
        {
            return search.next([&]() -> LoadBalancer::TargetPointer {
                for (const auto& target : targets) {
                    if (!LoadBalancer::isExcluded(target->description, search.excluded(), search.rejecting()))
                        return target;
                }
                return nullptr;
            });
        }

        std::vector<LoadBalancer::TargetPointer> targets;
    };

    constexpr TargetSearch::TimeLeft timeLeft { .toTargetLatency = 300ms, .toDeadline = 2000ms };

} // namespace

TEST_CASE("a search asks for free slots first, and waits longer at each further stage")
{
    const Service service({ "a", "b" });
    TargetSearch search({ .noWaitTries = 2, .targetLatencyTries = 1, .deadlineTries = 1 });
    struct Try {
        const char* address;
        std::chrono::milliseconds wait;
        bool isPastTargetLatency;
    };
    for (const auto& expected : { Try { "a:1", 0ms, false }, Try { "b:1", 0ms, false }, Try { "a:1", 300ms, false },
             Try { "b:1", 1000ms, true } }) {
        const auto target = service.next(search);
        REQUIRE(target);
        CHECK(target->description.address == expected.address);
        CHECK(search.maximumWait(timeLeft) == expected.wait);
        CHECK(search.isPastTargetLatency() == expected.isPastTargetLatency);
        search.exclude(target->description.address);
    }
    CHECK_FALSE(service.next(search));
}

TEST_CASE("a search waits no time for a target latency that has passed")
{
    const Service service({ "a" });
    TargetSearch search({ .noWaitTries = 0, .targetLatencyTries = 1 });
    REQUIRE(service.next(search));
    CHECK(search.maximumWait({ .toTargetLatency = -5ms, .toDeadline = 100ms }) == 0ms);
}

TEST_CASE("a target that rejected a request never gets it again, at whatever address")
{
    Service service({ "a", "b" });
    TargetSearch search({});
    search.recordRejection(service.next(search)->description);
    service.targets[0]->description.address = "moved:1";
    service.targets[0]->description.targetId = "restarted";
    for (int i = 0; i < 3; ++i) {
        search.restartAfterPause();
        const auto target = service.next(search);
        REQUIRE(target);
        CHECK(target->description.targetId == "b");
    }
    CHECK(search.rejections() == 1);
}

TEST_CASE("a search starts over after a pause only where that may find a target in time")
{
    const Service service({ "a" });
    SECTION("while the target latency can still be met")
    {
        const TargetSearch search({});
        CHECK(search.shouldPause(service.targets, 61ms));
        CHECK_FALSE(search.shouldPause(service.targets, 60ms));
    }
    SECTION("unless a target had no slot in time")
    {
        TargetSearch search({});
        search.recordNoSlot();
        CHECK_FALSE(search.shouldPause(service.targets, 300ms));
    }
    SECTION("unless every target rejected the request")
    {
        TargetSearch search({});
        search.recordRejection(service.targets[0]->description);
        CHECK_FALSE(search.shouldPause(service.targets, 300ms));
    }
    SECTION("unless it was stopped")
    {
        TargetSearch search({});
        search.stop("the daemon stops");
        CHECK_FALSE(search.shouldPause(service.targets, 300ms));
        CHECK_FALSE(service.next(search));
        CHECK(search.stopReason() == "the daemon stops");
    }
}

TEST_CASE("a retry starts over without the targets that were tried")
{
    const Service service({ "a", "b" });
    TargetSearch search({});
    search.exclude(service.next(search)->description.address);
    search.restart();
    CHECK(service.next(search)->description.targetId == "b");
}

} // namespace coriandergate::dispatch
