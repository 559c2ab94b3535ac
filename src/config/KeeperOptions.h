// Settings of a ConfigurationKeeper.
#pragma once

#include <chrono>
#include <cstddef>

namespace coriandergate::config {

// KeeperOptions holds the defaults that docs/operations/config.md describes.
struct KeeperOptions {
    std::chrono::milliseconds pollInterval { 1000 }; // between reads of the head row by a poller
    std::chrono::milliseconds lonePollInterval { 2000 }; // the same for a daemon that knows of no live peer
    std::chrono::milliseconds longestPollBackoff { 4000 }; // while the store does not answer
    std::chrono::milliseconds askInterval { 1000 }; // between questions to a peer
    std::chrono::milliseconds deltaTimeout { 1000 }; // of a pull of deltas, after which another source is tried
    std::chrono::milliseconds snapshotTimeout { 5000 }; // of a pull of a whole snapshot
    std::chrono::milliseconds pullRetryDelay { 300 }; // after a failed pull
    std::chrono::milliseconds keyLimit { 4000 }; // keyed requests are refused after so long without any contact
    std::chrono::milliseconds configurationLimit { std::chrono::hours(1) }; // all requests are refused after so long
    std::chrono::milliseconds bootstrapWait { 2000 }; // for answers of several peers before the first is taken
    std::size_t bootstrapPeers = 3; // answers that end the wait
    std::size_t pollersPerDataCentre = 3;
    std::size_t announceFanout = 4; // peers told at once of a version that was just taken
    std::size_t keptDeltas = 64; // served to peers that are a few versions behind
};

} // namespace coriandergate::config
