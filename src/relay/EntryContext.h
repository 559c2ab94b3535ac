// What all requests of one entry share.
#pragma once

#include "dispatch/CallRatio.h"
#include "dispatch/LoadBalancer.h"
#include "dispatch/RetryBudget.h"
#include "dispatch/StalenessTracker.h"
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
    auto inform() -> void;

    struct Options {
        // From the daemon's start, for its first news of configuration and hosts. Twice as long as the store mostly
        // takes; requests that come before wait for it.
        std::chrono::milliseconds firstNewsTime { 600 };
        // For a daemon of the same region to answer, beyond the wait for a slot.
        std::chrono::milliseconds hopTime { 150 };
        std::chrono::milliseconds farHopTime { 260 }; // the same for one of another region
        std::chrono::milliseconds rateHopTime { 120 }; // for the home of an account in this region to answer
        std::chrono::milliseconds farRateHopTime { 250 }; // for one of another region
        std::chrono::milliseconds loanHopTime { 100 }; // for a host of this data centre to lend an attempt
        std::size_t lendersAsked = 2;
        std::chrono::milliseconds rateHomeBackoff { 1000 }; // a home that wasn't reached isn't asked for so long
        std::chrono::milliseconds shortestRetryAfter { 200 };
        std::chrono::milliseconds longestRetryAfter { 3000 };
        double weighedAnswerBytes = 60000; // an answer of this size doubles the weight of the distance to a target
        double greatestDistanceFactor = 3;
        std::size_t quickTries = 3; // targets asked for a free slot before the request waits for one
        std::size_t waitingTries = 2;
        std::size_t lateTries = 2;
    };

    boost::asio::io_context& io;
    Options options;
    HeaderNames headers;
    std::string self; // key of this host
    std::string service; // of the target of this host
    Locality here;
    net::HttpClient& hops;
    dispatch::LoadBalancer& board;
    dispatch::RetryBudget& attempts;
    dispatch::CallRatio& calls; // of this host's target
    dispatch::StalenessTracker& proof; // of the configuration
    dispatch::StalenessTracker& hostsProof; // of the list of hosts
    const fleet::HostDirectory& directory;
    std::shared_ptr<const PolicySnapshot> snapshot; // null before the first configuration
    MonotonicTime startedAt = monotonicNow();
    bool isInformed = false; // configuration and hosts are known; stays so
    std::vector<std::weak_ptr<EntryRequest>> early; // came before that, and wait for it
    std::size_t hosts = 1; // that share the allowance for further attempts
    std::map<std::string, MonotonicTime> avoidedRateHomes; // until when, by host, after it wasn't reached
    std::map<std::string, MonotonicTime> spentRateHomes; // until when, by account and host, after it had none left
    std::map<std::string, dispatch::RetryBudget::CallsPerRequest> callsPerRun; // by service, as told last
    std::map<std::string, double> answerBytes; // of each route's answers, on average lately
    std::map<const EntryRequest*, std::weak_ptr<EntryRequest>> open; // requests that are owed an answer
    std::optional<MonotonicTime> endBy; // of a planned stop: every request has its answer by then
    EntryCounters counters;
    std::mt19937_64 random { std::random_device {}() };
};

} // namespace coriandergate::relay
