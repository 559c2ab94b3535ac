#include "share/BucketLimits.h"

#include "seat/SeatMap.h"

#include <algorithm>
#include <cmath>

namespace coriandergate::share {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::nanoseconds;

    constexpr double nanosecondsPerSecond = 1e9;
    constexpr double partsPerMillion = 1e6;
    constexpr double longestInterval = 86400 * nanosecondsPerSecond;

    auto toSeconds(milliseconds duration) -> double { return std::chrono::duration<double>(duration).count(); }

    auto toInterval(double seconds, const RateLimitOptions& options) -> nanoseconds
    {
        const auto drifted = seconds * (1 + options.driftPartsPerMillion / partsPerMillion);
        return nanoseconds { static_cast<std::int64_t>(
            std::min(std::ceil(drifted * nanosecondsPerSecond), longestInterval)) };
    }

    // Half of the burst at most pays for the lifetime of tokens, as long as that leaves a lifetime that serves.
    auto lifetimeFor(double rate, double burst, const RateLimitOptions& options) -> milliseconds
    {
        const auto affordable = std::min((burst - 1) / rate / 2, toSeconds(options.maximumTokenLifetime));
        const milliseconds lifetime { static_cast<std::int64_t>(affordable * 1000) };
        return std::clamp(lifetime, options.minimumTokenLifetime, options.maximumTokenLifetime);
    }

    // With a depth of one, k + 1 tokens are issued over k intervals at least, and used over k intervals less the
    // lifetime. That must hold k + 1 <= burst + rate * (k * interval - lifetime) for every k >= burst, of which the
    // least is worst.
    auto intervalAtDepthOne(double rate, double burst, double lifetime) -> double
    {
        return 1 / rate + (rate * lifetime - (burst - 1)) / (rate * std::floor(burst));
    }

} // namespace

auto bucketLimitsFor(double ratePerSecond, double burst, const RateLimitOptions& options) -> BucketLimits
{
    if (!(ratePerSecond > 0) || !(burst >= 1))
        return {};
    BucketLimits limits;
    limits.lifetime = lifetimeFor(ratePerSecond, burst, options);
    const auto lifetime = toSeconds(limits.lifetime);
    const auto depth = burst - ratePerSecond * lifetime;
    const auto splits = std::clamp(depth / options.splitDepth, 1.0, static_cast<double>(seat::maximumSplits));
    limits.splits = static_cast<std::uint32_t>(splits);
    if (depth < 1) {
        limits.interval = toInterval(intervalAtDepthOne(ratePerSecond, burst, lifetime), options);
        return limits;
    }
    limits.interval = toInterval(limits.splits / ratePerSecond, options);
    const auto tolerance = (depth / limits.splits - 1) * limits.splits / ratePerSecond * nanosecondsPerSecond;
    limits.tolerance = nanoseconds { static_cast<std::int64_t>(std::min(tolerance, longestInterval)) };
    return limits;
}

} // namespace coriandergate::share
