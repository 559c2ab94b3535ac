// The times and sizes of the distributed rate limit. All daemons of a fleet should use the same values.
#pragma once

#include <chrono>
#include <cstdint>

namespace coriandergate::share {

// RateLimitOptions configures a TokenServer and the TokenClients that request tokens from it.
struct RateLimitOptions {
    std::chrono::milliseconds maximumTokenLifetime { 250 }; // from the token request until the target is reached
    std::chrono::milliseconds minimumTokenLifetime { 60 }; // for accounts with a small burst
    std::chrono::milliseconds maximumWait { 300 }; // a request that has waited this long for a token is refused
    std::chrono::milliseconds waitPerBucket { 20 }; // maximum wait for one bucket while another can be tried
    std::chrono::milliseconds requestTimeout { 100 }; // then a token request without a response counts as lost
    std::chrono::milliseconds prefetchHorizon { 50 }; // tokens are prefetched for the demand of this period
    std::chrono::milliseconds limitPropagationTime { 10000 }; // until all daemons know a changed bucket count
    std::uint32_t minimumBucketDepth = 16; // tokens; an account gets a further bucket only if each holds this many
    std::uint32_t clockDriftPartsPerMillion = 200; // maximum drift between the clocks of two hosts
};

} // namespace coriandergate::share
