// The times and sizes of the distributed rate limit. All daemons of a fleet should use the same values.
#pragma once

#include <chrono>
#include <cstdint>

namespace coriandergate::share {

// RateLimitOptions configures a TokenServer and the TokenClients that request tokens from it.
struct RateLimitOptions {
    std::chrono::milliseconds maximumTokenLifetime { 250 }; // from the token request until the target is reached
    std::chrono::milliseconds minimumTokenLifetime { 60 }; // for accounts with a small burst
    std::chrono::milliseconds maximumWait { 300 }; // for a token, until a request is refused
    std::chrono::milliseconds waitPerBucket { 20 }; // for a token of one bucket, while another can be tried
    std::chrono::milliseconds requestTimeout { 100 }; // after which a token request counts as lost
    std::chrono::milliseconds prefetchHorizon { 50 }; // of steady demand, for which tokens are requested ahead
    std::chrono::milliseconds limitPropagationTime { 10000 }; // for a changed bucket count to reach all daemons
    std::uint32_t minimumBucketDepth = 16; // tokens of burst per bucket of an account with several buckets
    std::uint32_t clockDriftPartsPerMillion = 200; // maximum drift between the clocks of two hosts
};

} // namespace coriandergate::share
