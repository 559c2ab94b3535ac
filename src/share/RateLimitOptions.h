// Times and sizes of the shares of client accounts. Every daemon of a fleet should run with the same.
#pragma once

#include <chrono>
#include <cstdint>

namespace coriandergate::share {

// RateLimitOptions holds the settings of both sides, the home of an account and the daemons that take its requests.
struct RateLimitOptions {
    std::chrono::milliseconds maximumTokenLifetime { 250 }; // of a token, from the ask to the target
    std::chrono::milliseconds minimumTokenLifetime { 60 }; // for accounts whose burst is small
    std::chrono::milliseconds maximumWait { 300 }; // of a request for a token
    std::chrono::milliseconds shortWait { 20 }; // for one of several buckets, before the next one is asked
    std::chrono::milliseconds askTimeout { 100 }; // after which an ask counts as lost
    std::chrono::milliseconds aheadHorizon { 50 }; // of steady demand that is asked for ahead
    std::chrono::milliseconds settlingTime { 10000 }; // after a change of the number of an account's buckets
    std::uint32_t splitDepth = 16; // requests of burst that each bucket of an account keeps at least
    std::uint32_t driftPartsPerMillion = 200; // of the clocks of two hosts against each other
};

} // namespace coriandergate::share
