#include "dispatch/TargetHealth.h"

#include <catch2/catch.hpp>
#include <random>

namespace coriandergate::dispatch {

using namespace std::chrono_literals;
using Admission = TargetHealth::Admission;
using Outcome = TargetHealth::Outcome;

namespace {

    auto at(std::chrono::milliseconds time) -> MonotonicTime { return MonotonicTime(time); }

    // Sends a request every 60 ms, two of three retryable, to a target that fails `failureRate` of them, and counts the
    // non-retryable ones that failed.
    auto countLostRequests(double failureRate, bool usesCircuitBreaker, std::uint32_t seed) -> int
    {
        std::minstd_rand random(seed);
        std::uniform_real_distribution<double> draw(0, 1);
        TargetHealth health({});
        int lost = 0;
        for (int i = 0; i < 500; ++i) {
            const auto now = at(i * 60ms);
            const bool isRetryable = i % 3 != 0;
            if (usesCircuitBreaker && health.admit(isRetryable, now) == Admission::Refused)
                continue;
            const bool isFailure = draw(random) < failureRate;
            lost += isFailure && !isRetryable ? 1 : 0;
            health.recordOutcome(isFailure ? Outcome::Failed : Outcome::Succeeded, now);
            health.endProbe();
        }
        return lost;
    }

} // namespace

TEST_CASE("one failure marks a target as failing, and one successful probe restores it")
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

TEST_CASE("a target that failed several times needs several successes, and admits more concurrent probes after each")
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

TEST_CASE("the probe interval of a target that keeps failing grows up to its maximum")
{
    TargetHealth health({});
    auto now = at(0ms);
    health.recordOutcome(Outcome::Failed, now);
    std::chrono::milliseconds interval { 0 };
    for (int i = 0; i < 12; ++i) {
        now += health.nextProbeIn(now);
        REQUIRE(health.admit(true, now) == Admission::Probe);
        health.recordOutcome(Outcome::Failed, now);
        health.endProbe();
        CHECK(health.nextProbeIn(now) >= interval);
        interval = health.nextProbeIn(now);
    }
    CHECK(interval == TargetHealth::Options {}.maximumProbeInterval);
}

TEST_CASE("another probe is admitted once the first one has ended")
{
    TargetHealth health({});
    health.recordOutcome(Outcome::Failed, at(0ms));
    CHECK(health.admit(true, at(1ms)) == Admission::Probe);
    health.endProbe();
    CHECK(health.admit(true, at(2ms)) == Admission::Probe);
}

TEST_CASE("a failing target of a service without retryable requests is probed too")
{
    TargetHealth health({});
    health.recordOutcome(Outcome::Failed, at(0ms));
    CHECK(health.admit(false, at(1999ms)) == Admission::Refused);
    CHECK(health.admit(false, at(2000ms)) == Admission::Probe);
}

// Load pattern: a target that fails nine of ten, or half, of its requests while its health endpoint reports success.
// The baseline keeps sending.
TEST_CASE("a partially failing target loses few of the non-retryable requests that the baseline loses")
{
    for (const double failureRate : { 0.9, 0.5 }) {
        int lost = 0;
        int lostByBaseline = 0;
        for (std::uint32_t seed = 1; seed <= 20; ++seed) {
            lost += countLostRequests(failureRate, true, seed);
            lostByBaseline += countLostRequests(failureRate, false, seed);
        }
        INFO("failure rate " << failureRate << ": " << lost << " lost, baseline " << lostByBaseline);
        CHECK(lost * 5 < lostByBaseline);
    }
}

TEST_CASE("a healthy target with rare failures is sent nearly all requests")
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
