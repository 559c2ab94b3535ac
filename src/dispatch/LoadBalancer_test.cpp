#include "dispatch/LoadBalancer.h"

#include <catch2/catch.hpp>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;

namespace {

    const Locality local { "west", "west-a" };
    const Locality near { "west", "west-b" };
    const Locality far { "east", "east-a" };
    constexpr std::size_t slots = 5;

    auto at(std::chrono::milliseconds time) -> MonotonicTime { return MonotonicTime(time); }

    auto describe(const std::string& address, const Locality& locality) -> LoadBalancer::Description
    {
        return { .address = address, .service = "ledger", .locality = locality, .slots = slots };
    }

    auto makeBalancer(const std::vector<LoadBalancer::Description>& targets) -> LoadBalancer
    {
        LoadBalancer balancer({ .ownLocality = local });
        balancer.setTargets(targets);
        return balancer;
    }

    auto reportLoad(LoadBalancer& balancer, const std::string& address, std::size_t running, MonotonicTime now) -> void
    {
        for (const auto& target : balancer.targets("ledger")) {
            if (target->description.address == address)
                balancer.recordLoad(*target, { running, 0, slots }, 0, now);
        }
    }

    auto chosen(const LoadBalancer& balancer, MonotonicTime now, bool mayProbe = false) -> std::string
    {
        const auto target = balancer.choose({ .service = "ledger", .mayProbe = mayProbe }, now, 7);
        return target ? target->description.address : "";
    }

} // namespace

TEST_CASE("a cold target counts by the requests that it may still get, and a new incarnation as cold until it reports")
{
    auto balancer = makeBalancer({ describe("cold", local), describe("warm", local) });
    auto now = at(1000ms);
    reportLoad(balancer, "cold", 1, now);
    reportLoad(balancer, "warm", 3, now);
    CHECK(chosen(balancer, now) == "cold");
    const auto targets = balancer.targets("ledger");
    balancer.recordArrivals(*targets[0], TargetArrivals { 15, 12 });
    balancer.recordArrivals(*targets[1], TargetArrivals { 28, 12 });
    CHECK(balancer.arrivalUtilization(*targets[0], now) == Approx(0.8));
    CHECK(chosen(balancer, now) == "warm");
    CHECK(balancer.arrivalUtilization(*targets[0], at(1500ms)) == Approx(0.4));
    CHECK(balancer.arrivalUtilization(*targets[0], at(2500ms)) == 0);
    balancer.beginRequest(*targets[0]);
    CHECK(balancer.arrivalUtilization(*targets[0], at(2500ms)) == Approx(1 / 15.0));
    balancer.endRequest(*targets[0]);

    balancer.setColdServices({ { "ledger", { .fraction = 0.5, .coldTime = 3s } } });
    now = at(5000ms);
    reportLoad(balancer, "cold", 2, now);
    reportLoad(balancer, "warm", 3, now);
    for (const auto& target : targets)
        balancer.recordArrivals(*target, std::nullopt);
    CHECK(chosen(balancer, now) == "cold");
    auto restarted = describe("cold", local);
    restarted.targetStartedAt = 7;
    balancer.setTargets({ restarted, describe("warm", local) }, now);
    CHECK(chosen(balancer, now) == "warm");
    CHECK(targets[0]->assumedColdUntil == at(8000ms));
    reportLoad(balancer, "cold", 2, now);
    CHECK(chosen(balancer, now) == "cold");
    // The same incarnation announced again is no news.
    balancer.setTargets({ restarted, describe("warm", local) }, now);
    CHECK(chosen(balancer, now) == "cold");
}

TEST_CASE("local targets serve until their utilization exceeds that of the next data centre by the penalty")
{
    auto balancer = makeBalancer({ describe("own", local), describe("next", near), describe("far", far) });
    const auto now = at(1000ms);
    reportLoad(balancer, "own", 2, now);
    reportLoad(balancer, "next", 1, now);
    reportLoad(balancer, "far", 0, now);
    CHECK(chosen(balancer, now) == "own");
    reportLoad(balancer, "own", 5, now);
    CHECK(chosen(balancer, now) == "next");
    reportLoad(balancer, "next", 5, now);
    reportLoad(balancer, "own", 8, now);
    CHECK(chosen(balancer, now) == "far");
}

TEST_CASE("a response that is costly to transfer comes from a remote target only when needed")
{
    auto balancer = makeBalancer({ describe("own", local), describe("next", near) });
    const auto now = at(1000ms);
    reportLoad(balancer, "own", 4, now);
    reportLoad(balancer, "next", 1, now);
    CHECK(balancer.choose({ .service = "ledger" }, now, 7)->description.address == "next");
    CHECK(balancer.choose({ .service = "ledger", .distanceFactor = 2.5 }, now, 7)->description.address == "own");
    balancer.recordPathFailure(*balancer.targets("ledger")[0], now);
    CHECK(balancer.choose({ .service = "ledger", .distanceFactor = 2.5 }, now, 7)->description.address == "next");
}

TEST_CASE("requests that this daemon started count before the target's load report includes them")
{
    auto balancer = makeBalancer({ describe("a", local), describe("b", local) });
    const auto now = at(1000ms);
    reportLoad(balancer, "a", 0, now);
    reportLoad(balancer, "b", 1, now);
    for (int i = 0; i < 2; ++i)
        balancer.beginRequest(*balancer.targets("ledger").front());
    CHECK(chosen(balancer, now) == "b");
}

TEST_CASE("a target's load report decays towards the mean of its service")
{
    auto balancer = makeBalancer({ describe("a", local), describe("b", local), describe("c", local) });
    reportLoad(balancer, "a", 5, at(0ms));
    reportLoad(balancer, "b", 4, at(0ms));
    reportLoad(balancer, "c", 4, at(0ms));
    CHECK(chosen(balancer, at(0ms)) != "a");
    reportLoad(balancer, "b", 4, at(10000ms));
    reportLoad(balancer, "c", 1, at(10000ms));
    CHECK(balancer.estimatedUtilization(*balancer.targets("ledger")[0],
              balancer.meanUtilization({ .service = "ledger" }, at(10000ms)), at(10000ms))
        == Approx(0.5).epsilon(0.01));
}

// A target without any report must not seem more utilized than idle ones, or it never receives a request.
TEST_CASE("a new target receives its share although the others report that they are idle")
{
    auto balancer = makeBalancer({ describe("a", local), describe("b", local) });
    reportLoad(balancer, "a", 0, at(0ms));
    int newTargetChoices = 0;
    for (std::uint64_t random = 0; random < 50; ++random)
        newTargetChoices
            += balancer.choose({ .service = "ledger" }, at(0ms), random * 977)->description.address == "b" ? 1 : 0;
    CHECK(newTargetChoices > 10);
}

TEST_CASE("the backoff of a failed path doubles until the target is reached")
{
    auto balancer = makeBalancer({ describe("a", local) });
    auto& target = *balancer.targets("ledger").front();
    balancer.recordPathFailure(target, at(0ms));
    CHECK(chosen(balancer, at(699ms)).empty());
    CHECK(chosen(balancer, at(700ms)) == "a");
    balancer.recordPathFailure(target, at(700ms));
    CHECK(chosen(balancer, at(2099ms)).empty());
    CHECK(chosen(balancer, at(2100ms)) == "a");
    balancer.recordPathSuccess(target);
    balancer.recordPathFailure(target, at(3000ms));
    CHECK(chosen(balancer, at(3700ms)) == "a");
}

TEST_CASE("a daemon counts as unreachable only while attempts continue and all fail")
{
    auto balancer = makeBalancer({ describe("a", local) });
    auto& target = *balancer.targets("ledger").front();
    CHECK_FALSE(balancer.isUnreachableFor("a", 30s, at(60s)));
    for (int i = 0; i <= 8; ++i)
        balancer.recordPathFailure(target, at(i * 5s));
    CHECK(balancer.isUnreachableFor("a", 30s, at(41s)));
    CHECK_FALSE(balancer.isUnreachableFor("a", 30s, at(120s)));
    balancer.recordPathSuccess(target);
    balancer.recordPathFailure(target, at(42s));
    CHECK_FALSE(balancer.isUnreachableFor("a", 30s, at(43s)));
    CHECK_FALSE(balancer.isUnreachableFor("unknown", 30s, at(43s)));
}

TEST_CASE("a failing target receives only requests that may probe, once a probe is due")
{
    auto balancer = makeBalancer({ describe("a", local), describe("b", local), describe("c", local) });
    balancer.recordFailing(*balancer.targets("ledger").front(), 500ms, at(0ms));
    for (int i = 0; i < 20; ++i)
        CHECK(balancer.choose({ .service = "ledger" }, at(600ms), static_cast<std::uint64_t>(i))->description.address
            != "a");
    CHECK(chosen(balancer, at(400ms), true) != "a");
    CHECK(chosen(balancer, at(600ms), true) == "a");
}

// Regression test: failure reports that were never renewed excluded more and more targets, until most of a service
// seemed to fail.
TEST_CASE("a failure report that isn't renewed expires")
{
    auto balancer = makeBalancer({ describe("a", local) });
    balancer.recordFailing(*balancer.targets("ledger").front(), 500ms, at(0ms));
    CHECK(balancer.isInPanicMode({ .service = "ledger" }, at(1499ms)));
    CHECK_FALSE(balancer.isInPanicMode({ .service = "ledger" }, at(1500ms)));
    CHECK(chosen(balancer, at(1500ms)) == "a");
}

TEST_CASE("when most targets of a service fail, none is excluded for failing")
{
    auto balancer = makeBalancer({ describe("a", local), describe("b", local), describe("c", local) });
    const auto targets = balancer.targets("ledger");
    balancer.recordFailing(*targets[0], 500ms, at(0ms));
    CHECK_FALSE(balancer.isInPanicMode({ .service = "ledger" }, at(0ms)));
    balancer.recordFailing(*targets[1], 500ms, at(0ms));
    CHECK(balancer.isInPanicMode({ .service = "ledger" }, at(0ms)));
    balancer.recordFailing(*targets[2], 500ms, at(0ms));
    CHECK_FALSE(chosen(balancer, at(0ms)).empty());
}

// Load pattern: every target of a service rejects half of the requests that reach it.
TEST_CASE("a target that rejects requests costs more, and targets that reject alike are used alike")
{
    auto balancer = makeBalancer({ describe("a", local), describe("b", near) });
    const auto now = at(0ms);
    balancer.recordLoad(*balancer.targets("ledger")[0], { 1, 0, slots }, 0.55, now);
    balancer.recordLoad(*balancer.targets("ledger")[1], { 1, 0, slots }, 0, now);
    CHECK(chosen(balancer, now) == "b");
    balancer.recordLoad(*balancer.targets("ledger")[1], { 1, 0, slots }, 0.55, now);
    CHECK(chosen(balancer, now) == "a");
}

TEST_CASE("draining and excluded targets aren't chosen, and the state of others survives an update")
{
    auto balancer = makeBalancer({ describe("a", local), describe("b", local) });
    balancer.recordPathFailure(*balancer.targets("ledger")[1], at(0ms));
    auto draining = describe("a", local);
    draining.isDraining = true;
    balancer.setTargets({ draining, describe("b", local) });
    CHECK(chosen(balancer, at(100ms)).empty());
    CHECK(chosen(balancer, at(700ms)) == "b");
    const std::vector<std::string> excluded { "b" };
    CHECK_FALSE(balancer.choose({ .service = "ledger", .excluded = excluded }, at(700ms), 1));
}

TEST_CASE("with the home region full, slow or failing, its requests still go nowhere else")
{
    const HomeRegions homes({ "west" });
    const HomeRegions nowhere = homes.intersection(HomeRegions({ "north" }));
    auto balancer = makeBalancer({ describe("a", local), describe("b", near), describe("c", far), describe("d", far) });
    const LoadBalancer::Criteria criteria { .service = "ledger", .homes = &homes };
    const auto countFar = [&](MonotonicTime now) -> int {
        int count = 0;
        for (std::uint64_t random = 0; random < 200; ++random) {
            const auto target = balancer.choose(criteria, now, random);
            count += target && target->description.locality.region != "west" ? 1 : 0;
        }
        return count;
    };
    for (const std::size_t running : { 0U, 5U, 50U }) {
        const auto now = at(std::chrono::milliseconds(1000 * (running + 1)));
        reportLoad(balancer, "a", running, now);
        reportLoad(balancer, "b", running, now);
        reportLoad(balancer, "c", 0, now);
        CHECK(balancer.choose(criteria, now, 7));
        CHECK(countFar(now) == 0);
        CHECK(balancer.meanUtilization(criteria, now) == Approx(static_cast<double>(running) / slots));
    }
    const auto now = at(60s);
    const auto targets = balancer.targets("ledger");
    balancer.recordFailing(*targets[0], 5s, now);
    balancer.recordFailing(*targets[1], 5s, now);
    // Half of all targets fail, and all at home: the failing ones there are used.
    CHECK_FALSE(balancer.isInPanicMode({ .service = "ledger" }, now));
    CHECK(balancer.isInPanicMode(criteria, now));
    CHECK(balancer.choose(criteria, now, 7));
    CHECK(countFar(now) == 0);
    balancer.recordPathFailure(*targets[0], now);
    balancer.recordPathFailure(*targets[1], now);
    CHECK_FALSE(balancer.choose(criteria, now, 7));
    CHECK(balancer.earliestUse(criteria) == now + 700ms);
    CHECK(balancer.earliestUse({ .service = "ledger" }) == MonotonicTime {});
    CHECK(balancer.choose({ .service = "ledger" }, now, 7)->description.locality.region == "east");
    CHECK_FALSE(balancer.choose({ .service = "ledger", .homes = &nowhere }, now, 7));
    CHECK_FALSE(balancer.earliestUse({ .service = "ledger", .homes = &nowhere }));
}

TEST_CASE("a caller in another region than its homes is served from its homes")
{
    const HomeRegions homes({ "east" });
    auto balancer = makeBalancer({ describe("a", local), describe("c", far), describe("odd", {}) });
    CHECK(balancer.choose({ .service = "ledger", .homes = &homes }, at(0ms), 7)->description.address == "c");
    LoadBalancer withoutLocality({});
    withoutLocality.setTargets({ describe("a", local), describe("odd", {}) });
    CHECK_FALSE(withoutLocality.choose({ .service = "ledger", .homes = &homes }, at(0ms), 7));
}

} // namespace coriandergate::dispatch
