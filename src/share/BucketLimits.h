// Converts a client account's rate and burst into the limits of the token buckets that enforce them.
//
// A token issued at t is used at a target within [t, t + lifetime]. The requests that targets see in a window of length
// T therefore took tokens that were issued within T + lifetime, so a bucket of depth b - rate * lifetime that refills
// at the full rate lets at most b + rate * T requests through in every window. If the burst is too small for that, the
// lifetime is reduced, and at the minimum lifetime the rate is. docs/design/share.md derives the formulas.
//
//   const auto limits = bucketLimitsFor(account.ratePerSecond, account.burst, options);
//   for (std::uint32_t bucket = 0; bucket < limits.bucketCount; ++bucket) ...
#pragma once

#include "share/RateLimitOptions.h"

#include <chrono>
#include <cstdint>

namespace coriandergate::share {

// BucketLimits are the parameters of each of an account's `bucketCount` buckets. By the generic cell rate algorithm, a
// bucket issues a token once per `interval`, or earlier by up to `tolerance`.
struct BucketLimits {
    std::uint32_t bucketCount = 0; // 0: the account gets no tokens
    std::chrono::nanoseconds interval { 0 };
    std::chrono::nanoseconds tolerance { 0 };
    std::chrono::milliseconds tokenLifetime { 0 };

    friend auto operator==(const BucketLimits&, const BucketLimits&) -> bool = default;
};

// bucketLimitsFor() takes the rate in requests per second and the burst in requests. An account whose burst is below 1
// or whose rate is not positive has no buckets. A pure function.
[[nodiscard]] auto bucketLimitsFor(double ratePerSecond, double burst, const RateLimitOptions& options) -> BucketLimits;

} // namespace coriandergate::share
