// Turns a client account's rate and burst into limits for the buckets that issue its tokens.
//
// A token that is issued at t reaches a target within [t, t + lifetime]. What targets see in a window of length T was
// therefore issued within T + lifetime, so a bucket of depth b - rate * lifetime and the full rate keeps within
// b + rate * T over every window. When the burst is too small for that, the lifetime shrinks, and below the shortest
// lifetime the rate does. docs/design/share.md works it out.
//
//   const auto limits = bucketLimitsFor(account.ratePerSecond, account.burst, options);
//   for (std::uint32_t split = 0; split < limits.splits; ++split) ...
#pragma once

#include "share/RateLimitOptions.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::share {

// BucketLimits are those of each of an account's `splits` buckets, by the generic cell rate algorithm: a token may be
// issued once per `interval`, or earlier by up to `tolerance`.
struct BucketLimits {
    std::uint32_t splits = 0; // 0: the account gets nothing
    std::chrono::nanoseconds interval { 0 };
    std::chrono::nanoseconds tolerance { 0 };
    std::chrono::milliseconds lifetime { 0 };

    friend auto operator==(const BucketLimits&, const BucketLimits&) -> bool = default;
};

// bucketLimitsFor() takes the rate in requests a second and the burst in requests. A burst below 1 or a rate that is
// not positive gives an account that gets nothing. A pure function.
[[nodiscard]] auto bucketLimitsFor(double ratePerSecond, double burst, const RateLimitOptions& options) -> BucketLimits;

} // namespace coriandergate::share
