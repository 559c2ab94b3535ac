// What all requests of one entry share.
#pragma once

#include "dispatch/AttemptBudget.h"
#include "dispatch/CallRatio.h"
#include "dispatch/FreshnessProof.h"
#include "dispatch/TargetBoard.h"
#include "net/HttpClient.h"
#include "relay/EntryCounters.h"
#include "relay/HeaderNames.h"
#include "relay/PolicySnapshot.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace coriandergate::fleet {
class HostDirectory;
}

namespace coriandergate::relay {

class EntryRequest;

// EntryContext is used on the thread of its io_context and outlives every request.
struct EntryContext {
    // inform() says that configuration and hosts are known now, and lets the early requests begin.
    auto markReady() -> void;

    struct Options {
        // From the daemon's start, for its first news of configuration and hosts. Twice as long as the store mostly
        // takes; requests that come before wait for it.
        std::chrono::milliseconds startupWait { 600 };
        // For a daemon of the same region to answer, beyond the wait for a slot.
        std::chrono::milliseconds peerTimeout { 150 };
        std::chrono::milliseconds crossRegionPeerTimeout { 260 }; // the same for one of another region
        std::chrono::milliseconds rateLimitTimeout { 120 }; // for the home of an account in this region to answer
        std::chrono::milliseconds crossRegionRateLimitTimeout { 250 }; // for one of another region
        std::chrono::milliseconds borrowTimeout { 100 }; // for a host of this data centre to lend an attempt
        std::size_t maximumLenders = 2;
        std::chrono::milliseconds rateLimitOwnerBackoff { 1000 }; // a home that wasn't reached isn't asked for so long
        std::chrono::milliseconds minimumRetryAfter { 200 };
        std::chrono::milliseconds maximumRetryAfter { 3000 };
        double distanceDoublingBytes = 60000; // an answer of this size doubles the weight of the distance to a target
        double maximumDistanceFactor = 3;
        std::size_t noWaitTries = 3; // targets asked for a free slot before the request waits for one
        std::size_t targetLatencyTries = 2;
        std::size_t deadlineTries = 2;
    };

    boost::asio::io_context& io;
    Options options;
    HeaderNames headers;
    std::string hostKey; // key of this host
    std::string service; // of the target of this host
    Locality locality;
    net::HttpClient& peerClient;
    dispatch::TargetBoard& targets;
    dispatch::AttemptBudget& retryBudget;
    dispatch::CallRatio& callRatio; // of this host's target
    dispatch::FreshnessProof& configurationFreshness; // of the configuration
    dispatch::FreshnessProof& hostListFreshness; // of the list of hosts
    const fleet::HostDirectory& directory;
    std::shared_ptr<const PolicySnapshot> snapshot; // null before the first configuration
    MonotonicTime startedAt = monotonicNow();
    bool isReady = false; // configuration and hosts are known; stays so
    std::vector<std::weak_ptr<EntryRequest>> pendingRequests; // came before that, and wait for it
    std::size_t hostCount = 1; // that share the allowance for further attempts
    std::map<std::string, MonotonicTime> rateLimitOwnerAvoidedUntil; // until when, by host, after it wasn't reached
    std::map<std::string, MonotonicTime> rateExhaustedUntil; // until when, by account and host, after it had none left
    std::map<std::string, dispatch::AttemptBudget::CallsPerRun> callsPerRun; // by service, as told last
    std::map<std::string, double> meanResponseBytes; // of each route's answers, on average lately
    std::map<const EntryRequest*, std::weak_ptr<EntryRequest>> openRequests; // requests that are owed an answer
    std::optional<MonotonicTime> shutdownDeadline; // of a planned stop: every request has its answer by then
    EntryCounters counters;
    std::mt19937_64 random { std::random_device {}() };
};

} // namespace coriandergate::relay
