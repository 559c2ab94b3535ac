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
    constexpr double maximumDurationNanoseconds = 86400 * nanosecondsPerSecond; // one day

    auto toSeconds(milliseconds duration) -> double { return std::chrono::duration<double>(duration).count(); }

    // Lengthens the interval by the clock drift, so that a token server with a fast clock keeps the rate on other
    // hosts' clocks.
    auto toInterval(double seconds, const RateLimitOptions& options) -> nanoseconds
    {
        const auto secondsWithDrift = seconds * (1 + options.clockDriftPartsPerMillion / partsPerMillion);
        return nanoseconds { static_cast<std::int64_t>(
            std::min(std::ceil(secondsWithDrift * nanosecondsPerSecond), maximumDurationNanoseconds)) };
    }

    // The longest lifetime that takes at most half of the burst above one token, that is, rate * lifetime is at most
    // (burst - 1) / 2. The minimum lifetime may take more.
    auto tokenLifetimeFor(double rate, double burst, const RateLimitOptions& options) -> milliseconds
    {
        const auto affordableSeconds = std::min((burst - 1) / rate / 2, toSeconds(options.maximumTokenLifetime));
        const milliseconds lifetime { static_cast<std::int64_t>(affordableSeconds * 1000) };
        return std::clamp(lifetime, options.minimumTokenLifetime, options.maximumTokenLifetime);
    }

    // With a depth of one token, k + 1 tokens are issued over at least k intervals, and used over at least k intervals
    // minus the lifetime. So k + 1 <= burst + rate * (k * interval - lifetime) must hold for every k >= floor(burst);
    // the smallest k is the worst case.
    auto intervalSecondsAtDepthOne(double rate, double burst, double lifetimeSeconds) -> double
    {
        return 1 / rate + (rate * lifetimeSeconds - (burst - 1)) / (rate * std::floor(burst));
    }

} // namespace

auto bucketLimitsFor(double ratePerSecond, double burst, const RateLimitOptions& options) -> BucketLimits
{
    if (!(ratePerSecond > 0) || !(burst >= 1))
        return {};
    BucketLimits limits;
    limits.tokenLifetime = tokenLifetimeFor(ratePerSecond, burst, options);
    const auto lifetimeSeconds = toSeconds(limits.tokenLifetime);
    const auto depth = burst - ratePerSecond * lifetimeSeconds;
    const auto bucketCount
        = std::clamp(depth / options.minimumBucketDepth, 1.0, static_cast<double>(seat::maximumSeatsPerKey));
    limits.bucketCount = static_cast<std::uint32_t>(bucketCount);
    if (depth < 1) {
        limits.interval = toInterval(intervalSecondsAtDepthOne(ratePerSecond, burst, lifetimeSeconds), options);
        return limits;
    }
    limits.interval = toInterval(limits.bucketCount / ratePerSecond, options);
    const auto toleranceNanoseconds
        = (depth / limits.bucketCount - 1) * limits.bucketCount / ratePerSecond * nanosecondsPerSecond;
    limits.tolerance
        = nanoseconds { static_cast<std::int64_t>(std::min(toleranceNanoseconds, maximumDurationNanoseconds)) };
    return limits;
}

} // namespace coriandergate::share
