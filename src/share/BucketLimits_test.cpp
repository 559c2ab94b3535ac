#include "share/PeerClock.h"
#include "share/TokenBucket.h"
#include "share/TokenMessageCodec.h"
#include "share/TokenRequest.h"
#include "share/TokenResponse.h"

#include <catch2/catch.hpp>
#include <random>

using namespace coriandergate;
using namespace coriandergate::share;
using namespace std::chrono_literals;

namespace {

// Takes tokens of all buckets at the rate at which they become valid and uses each at the worst allowed time: the first
// ones of a window as late as possible, the rest immediately. Returns the most by which the tokens used in any window
// exceed burst + rate * length.
auto worstExcess(double rate, double burst, const BucketLimits& limits) -> double
{
    std::vector<double> issuedSeconds;
    for (std::uint32_t bucketIndex = 0; bucketIndex < limits.bucketCount; ++bucketIndex) {
        TokenBucket bucket(MonotonicTime {});
        for (auto i = 0; i < 400; ++i) {
            const auto delay = bucket.issue(limits, 24h * 365, MonotonicTime {});
            issuedSeconds.push_back(std::chrono::duration<double>(*delay).count());
        }
    }
    std::sort(issuedSeconds.begin(), issuedSeconds.end());
    const auto lifetimeSeconds = std::chrono::duration<double>(limits.tokenLifetime).count();
    double excess = -1e9;
    for (std::size_t first = 0; first < issuedSeconds.size(); ++first) {
        for (auto last = first; last < std::min(issuedSeconds.size(), first + 300); ++last) {
            const auto windowSeconds = std::max(0.0, issuedSeconds[last] - issuedSeconds[first] - lifetimeSeconds);
            excess = std::max(excess, static_cast<double>(last - first + 1) - burst - rate * windowSeconds);
        }
    }
    return excess;
}

} // namespace

TEST_CASE("tokens used at the worst allowed times stay within rate and burst in every window")
{
    std::mt19937_64 random(11);
    for (auto i = 0; i < 200; ++i) {
        const auto rate = std::exp(std::uniform_real_distribution<double>(-1, 7)(random));
        const auto burst = std::floor(std::exp(std::uniform_real_distribution<double>(0, 7)(random)));
        const auto limits = bucketLimitsFor(rate, burst, {});
        INFO("rate " << rate << " burst " << burst);
        REQUIRE(limits.bucketCount >= 1);
        CHECK(worstExcess(rate, burst, limits) < 1e-6);
    }
}

TEST_CASE("an account without a rate or with a burst below one has no buckets")
{
    CHECK(bucketLimitsFor(0, 10, {}).bucketCount == 0);
    CHECK(bucketLimitsFor(10, 0.5, {}).bucketCount == 0);
}

TEST_CASE("token messages survive encoding and decoding and malformed ones are rejected")
{
    const TokenRequest request { { "a:1", 7 }, { "b:2", 8 }, { { 5, 3, "member", 1, 2, 4, 250ms } } };
    const TokenResponse response { { "b:2", 8 }, { "a:1", 7 }, { { 5, true, { 0us, 17us }, 60ms, 9us } } };
    Error reason;
    CHECK(decodeTokenRequest(encodeTokenRequest(request), reason) == request);
    CHECK(decodeTokenResponse(encodeTokenResponse(response), reason) == response);
    for (const auto* text : { "", "{}", "[1,2]", R"([["a",1],["b",2],[[1]]])", R"([["a",1],["b",2],[["x"]]])" }) {
        CHECK_FALSE(decodeTokenRequest(text, reason));
        CHECK_FALSE(decodeTokenResponse(text, reason));
        CHECK_FALSE(reason.reason.empty());
    }
}

TEST_CASE("a deadline translated to a peer's clock is reached there no later than on the local clock")
{
    std::mt19937_64 random(3);
    const auto uniform
        = [&random](double low, double high) { return std::uniform_real_distribution<double>(low, high)(random); };
    for (auto run = 0; run < 100; ++run) {
        const auto offsetNanoseconds = uniform(-1e12, 1e12);
        const auto speed = 1 + uniform(-200, 200) * 1e-6;
        const auto peerTimeAt = [&](double localNanoseconds) {
            return std::chrono::nanoseconds(static_cast<std::int64_t>(offsetNanoseconds + localNanoseconds * speed));
        };
        PeerClock clock(200);
        double nowNanoseconds = 1e9;
        for (auto i = 0; i < 20; ++i) {
            nowNanoseconds += uniform(0, 1e9);
            const auto networkDelayNanoseconds = uniform(1e5, 4e7);
            clock.addSample(peerTimeAt(nowNanoseconds - networkDelayNanoseconds),
                MonotonicTime(std::chrono::nanoseconds(static_cast<std::int64_t>(nowNanoseconds))));
            const auto deadlineNanoseconds = nowNanoseconds + uniform(0, 3e8);
            const auto translated = clock.toPeerTime(
                MonotonicTime(std::chrono::nanoseconds(static_cast<std::int64_t>(deadlineNanoseconds))));
            REQUIRE(translated);
            CHECK(*translated <= peerTimeAt(deadlineNanoseconds) + 2ns);
        }
    }
}
