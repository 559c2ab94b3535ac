#include "health/GrayFailureDetector.h"

#include "testing/GrayTrace.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <vector>

using namespace coriandergate::health;
using namespace coriandergate::testing;
using namespace std::chrono_literals;

namespace {
constexpr auto maxDetectionTime = 3000ms;
constexpr auto seedCount = 6;
}

TEST_CASE("a gray target is ejected within 3 s at 20 requests per second and target")
{
    const auto row = GENERATE(GrayTraceOptions { .fault = GrayFault::Slow },
        GrayTraceOptions { .fault = GrayFault::Slow, .times = ServiceTimes::Pareto },
        GrayTraceOptions { .fault = GrayFault::Slow, .times = ServiceTimes::TwoModes },
        GrayTraceOptions { .targets = 200, .fault = GrayFault::Slow, .length = 25s },
        GrayTraceOptions { .fault = GrayFault::Failing }, GrayTraceOptions { .fault = GrayFault::HalfAnswers },
        GrayTraceOptions { .fault = GrayFault::Hung });
    auto options = row;
    for (options.seed = 1; options.seed <= seedCount; ++options.seed) {
        const auto result = runGrayTrace(options);
        CAPTURE(static_cast<int>(row.fault), static_cast<int>(row.times), row.targets, options.seed);
        REQUIRE(result.detectedAfter);
        CHECK(*result.detectedAfter <= maxDetectionTime);
        CHECK(result.falseEjections == 0);
    }
}

TEST_CASE("no target is ejected when all are healthy or when the whole service slows down")
{
    const auto row = GENERATE(GrayTraceOptions {}, GrayTraceOptions { .times = ServiceTimes::Pareto },
        GrayTraceOptions { .times = ServiceTimes::TwoModes }, GrayTraceOptions { .fault = GrayFault::WholeService },
        GrayTraceOptions { .ratePerTarget = 1, .fault = GrayFault::WholeService },
        GrayTraceOptions { .targets = 8, .fault = GrayFault::WholeService, .messageLoss = 0.1 });
    auto options = row;
    options.length = 60s;
    for (options.seed = 1; options.seed <= seedCount; ++options.seed) {
        CAPTURE(static_cast<int>(row.fault), static_cast<int>(row.times), row.targets, options.seed);
        CHECK(runGrayTrace(options).falseEjections == 0);
    }
}

TEST_CASE("a flapping target is ejected for more than 60 percent of the time")
{
    const auto result = runGrayTrace({ .fault = GrayFault::Flapping, .length = 120s });
    CHECK(result.grayShareOut > 0.6);
    CHECK(result.falseEjections == 0);
}

TEST_CASE("a target that reports itself unhealthy adds evidence, and one that reports itself healthy removes none")
{
    const auto evidenceWith = [](bool isUnhealthy) {
        GrayFailureDetector detector({});
        coriandergate::MonotonicTime now;
        TargetReport peer;
        peer.sequence = 1;
        peer.recentServiceTimes.add(20ms, 40);
        for (const auto* const name : { "b", "c", "d" }) {
            peer.target = name;
            detector.receive(peer, now);
        }
        TargetReport report;
        report.target = "a";
        report.sequence = 1;
        report.isSuspicious = true;
        report.isSelfReportedUnhealthy = isUnhealthy;
        report.serviceTimesSinceOnset.add(100ms, 4);
        report.serviceTimeIntervalsSinceOnset = 2;
        return detector.receive(report, now).evidence;
    };
    CHECK(evidenceWith(true)
        == Approx(evidenceWith(false) + GrayFailureDetector::Options().selfReportedUnhealthyEvidenceNats));
    CHECK(evidenceWith(false) > 0);
}

TEST_CASE("the mean of exp(evidence) over the peers' own service times is at most one")
{
    const auto paretoAlpha = GENERATE(0.8, 1.5, 4.0);
    ServiceTimeHistogram peers;
    for (auto i = 0; i < 1000; ++i)
        peers.add(std::chrono::microseconds(std::llround(1e4 / std::pow(1 - (i + 0.5) / 1000, 1 / paretoAlpha))));
    const auto baseline = Baseline::fromPeers(peers, 0, 1000);
    REQUIRE(baseline);
    auto mean = 0.0;
    for (std::size_t bucket = 0; bucket < ServiceTimeHistogram::s_bucketCount; ++bucket)
        mean += peers.count(bucket) / peers.total() * std::exp(baseline->serviceTimeEvidence(bucket));
    CHECK(mean <= 1.0001);
}
