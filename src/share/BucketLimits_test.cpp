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

// Takes every token as soon as it comes and uses it as badly as allowed: the first ones as late as possible, the rest
// at once. Returns by how much the tokens used within any window passed burst + rate * length.
auto worstExcess(double rate, double burst, const BucketLimits& limits) -> double
{
    std::vector<double> issued;
    for (std::uint32_t split = 0; split < limits.splits; ++split) {
        TokenBucket bucket(MonotonicTime {});
        for (auto i = 0; i < 400; ++i) {
            const auto at = bucket.issue(limits, 24h * 365, MonotonicTime {});
            issued.push_back(std::chrono::duration<double>(*at).count());
        }
    }
    std::sort(issued.begin(), issued.end());
    const auto lifetime = std::chrono::duration<double>(limits.lifetime).count();
    double excess = -1e9;
    for (std::size_t first = 0; first < issued.size(); ++first) {
        for (auto last = first; last < std::min(issued.size(), first + 300); ++last) {
            const auto length = std::max(0.0, issued[last] - issued[first] - lifetime);
            excess = std::max(excess, static_cast<double>(last - first + 1) - burst - rate * length);
        }
    }
    return excess;
}

} // namespace

TEST_CASE("tokens used as late and as early as they may be stay within rate and burst over every window")
{
    std::mt19937_64 random(11);
    for (auto i = 0; i < 200; ++i) {
        const auto rate = std::exp(std::uniform_real_distribution<double>(-1, 7)(random));
        const auto burst = std::floor(std::exp(std::uniform_real_distribution<double>(0, 7)(random)));
        const auto limits = bucketLimitsFor(rate, burst, {});
        INFO("rate " << rate << " burst " << burst);
        REQUIRE(limits.splits >= 1);
        CHECK(worstExcess(rate, burst, limits) < 1e-6);
    }
}

TEST_CASE("an account without a rate or a burst gets nothing")
{
    CHECK(bucketLimitsFor(0, 10, {}).splits == 0);
    CHECK(bucketLimitsFor(10, 0.5, {}).splits == 0);
}

TEST_CASE("messages about shares survive their encoding, and malformed ones are refused")
{
    const TokenRequest ask { { "a:1", 7 }, { "b:2", 8 }, { { 5, 3, "member", 1, 2, 4, 250ms } } };
    const TokenResponse grant { { "b:2", 8 }, { "a:1", 7 }, { { 5, true, { 0us, 17us }, 60ms, 9us } } };
    Error reason;
    CHECK(decodeTokenRequest(encodeTokenRequest(ask), reason) == ask);
    CHECK(decodeTokenResponse(encodeTokenResponse(grant), reason) == grant);
    for (const auto* text : { "", "{}", "[1,2]", R"([["a",1],["b",2],[[1]]])", R"([["a",1],["b",2],[["x"]]])" }) {
        CHECK_FALSE(decodeTokenRequest(text, reason));
        CHECK_FALSE(decodeTokenResponse(text, reason));
        CHECK_FALSE(reason.reason.empty());
    }
}

TEST_CASE("a time translated to a peer's clock comes there no later than here")
{
    std::mt19937_64 random(3);
    const auto uniform
        = [&random](double low, double high) { return std::uniform_real_distribution<double>(low, high)(random); };
    for (auto run = 0; run < 100; ++run) {
        const auto offset = uniform(-1e12, 1e12);
        const auto speed = 1 + uniform(-200, 200) * 1e-6;
        const auto peerAt
            = [&](double local) { return std::chrono::nanoseconds(static_cast<std::int64_t>(offset + local * speed)); };
        PeerClock clock(200);
        double now = 1e9;
        for (auto i = 0; i < 20; ++i) {
            now += uniform(0, 1e9);
            const auto travelled = uniform(1e5, 4e7);
            clock.addSample(
                peerAt(now - travelled), MonotonicTime(std::chrono::nanoseconds(static_cast<std::int64_t>(now))));
            const auto useBy = now + uniform(0, 3e8);
            const auto translated
                = clock.toPeerTime(MonotonicTime(std::chrono::nanoseconds(static_cast<std::int64_t>(useBy))));
            REQUIRE(translated);
            CHECK(*translated <= peerAt(useBy) + 2ns);
        }
    }
}
