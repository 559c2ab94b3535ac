#include "dispatch/TargetHealth.h"

#include <catch2/catch.hpp>
#include <random>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;
using Admission = TargetHealth::Admission;
using Outcome = TargetHealth::Outcome;

namespace {

    auto at(std::chrono::milliseconds time) -> MonotonicTime { return MonotonicTime(time); }

    // Sends one request every 60 ms, two of three repeatable, to a target that fails `failShare` of them, and counts
    // the once-only ones that failed.
    auto lostOnceOnly(double failShare, bool isGuarded, std::uint32_t seed) -> int
    {
        std::minstd_rand random(seed);
        std::uniform_real_distribution<double> draw(0, 1);
        TargetHealth health({});
        int lost = 0;
        for (int i = 0; i < 500; ++i) {
            const auto now = at(i * 60ms);
            const bool isRepeatable = i % 3 != 0;
            if (isGuarded && health.admit(isRepeatable, now) == Admission::Refused)
                continue;
            const bool isFailure = draw(random) < failShare;
            lost += isFailure && !isRepeatable ? 1 : 0;
            health.recordOutcome(isFailure ? Outcome::Failed : Outcome::Succeeded, now);
            health.endProbe();
        }
        return lost;
    }

} // namespace

TEST_CASE("one failure makes a suspect, and one good answer to a trial clears it")
{
    TargetHealth health({});
    CHECK(health.recordOutcome(Outcome::Failed, at(0ms)));
    CHECK(health.isFailing());
    CHECK(health.admit(false, at(1ms)) == Admission::Refused);
    CHECK(health.admit(true, at(1ms)) == Admission::Probe);
    CHECK(health.admit(true, at(2ms)) == Admission::Refused);
    CHECK(health.recordOutcome(Outcome::Succeeded, at(300ms)));
    CHECK(health.admit(false, at(301ms)) == Admission::Healthy);
}

TEST_CASE("a target that failed several times needs several good answers, and takes more at a time with each")
{
    TargetHealth health({});
    auto now = at(0ms);
    for (int i = 0; i < 6; ++i)
        health.recordOutcome(Outcome::Failed, now);
    now += 5s;
    CHECK(health.admit(true, now) == Admission::Probe);
    CHECK_FALSE(health.recordOutcome(Outcome::Succeeded, now));
    health.endProbe();
    CHECK(health.admit(true, now) == Admission::Probe);
    CHECK(health.admit(true, now) == Admission::Probe);
    CHECK(health.admit(true, now) == Admission::Refused);
    CHECK_FALSE(health.recordOutcome(Outcome::Succeeded, now));
    CHECK(health.admit(false, now) == Admission::Probe);
    CHECK_FALSE(health.recordOutcome(Outcome::Succeeded, now));
    CHECK(health.recordOutcome(Outcome::Succeeded, now));
    CHECK_FALSE(health.isFailing());
}

TEST_CASE("trials of a target that goes on failing lie farther apart, up to a bound")
{
    TargetHealth health({});
    auto now = at(0ms);
    health.recordOutcome(Outcome::Failed, now);
    std::chrono::milliseconds gap { 0 };
    for (int i = 0; i < 12; ++i) {
        now += health.nextProbeIn(now);
        REQUIRE(health.admit(true, now) == Admission::Probe);
        health.recordOutcome(Outcome::Failed, now);
        health.endProbe();
        CHECK(health.nextProbeIn(now) >= gap);
        gap = health.nextProbeIn(now);
    }
    CHECK(gap == TargetHealth::Options {}.longestTrialGap);
}

TEST_CASE("a trial that is over makes room for another")
{
    TargetHealth health({});
    health.recordOutcome(Outcome::Failed, at(0ms));
    CHECK(health.admit(true, at(1ms)) == Admission::Probe);
    health.endProbe();
    CHECK(health.admit(true, at(2ms)) == Admission::Probe);
}

TEST_CASE("a service without repeatable requests gets its failing target tried too")
{
    TargetHealth health({});
    health.recordOutcome(Outcome::Failed, at(0ms));
    CHECK(health.admit(false, at(1999ms)) == Admission::Refused);
    CHECK(health.admit(false, at(2000ms)) == Admission::Probe);
}

// Load pattern: a target that fails nine of ten, or half, of its requests while its health page is good. The naive way
// sends on as before.
TEST_CASE("a gray target loses a small part of the once-only requests that it would lose unguarded")
{
    for (const double failShare : { 0.9, 0.5 }) {
        int guarded = 0;
        int naive = 0;
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            guarded += lostOnceOnly(failShare, true, seed);
            naive += lostOnceOnly(failShare, false, seed);
        }
        INFO("fail share " << failShare << ": " << guarded << " lost, naive " << naive);
        CHECK(guarded * 5 < naive);
    }
}

TEST_CASE("a sound target with rare failures keeps nearly all of its once-only requests")
{
    std::minstd_rand random(3);
    std::uniform_real_distribution<double> draw(0, 1);
    TargetHealth health({});
    int refused = 0;
    constexpr int requests = 5000;
    for (int i = 0; i < requests; ++i) {
        const auto now = at(i * 60ms);
        if (health.admit(i % 3 != 0, now) == Admission::Refused) {
            ++refused;
            continue;
        }
        health.recordOutcome(draw(random) < 0.012 ? Outcome::Failed : Outcome::Succeeded, now);
        health.endProbe();
    }
    CHECK(refused < requests / 50);
}

} // namespace coriandergate::dispatch
