// What all requests of one entry share.
#pragma once

#include "dispatch/AttemptBudget.h"
#include "dispatch/FreshnessProof.h"
#include "dispatch/RateShares.h"
#include "dispatch/TargetBoard.h"
#include "net/HttpClient.h"
#include "relay/EntryCounters.h"
#include "relay/HeaderNames.h"
#include "relay/PolicySnapshot.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <string>

namespace coriandergate::relay {

// EntryContext is used on the thread of its io_context and outlives every request.
struct EntryContext {
    struct Options {
        std::chrono::milliseconds hopTime { 150 }; // for a daemon of the same region to answer, beyond the wait for a slot
        std::chrono::milliseconds farHopTime { 260 }; // the same for one of another region
        std::chrono::milliseconds ratePatience { 150 }; // a request waits so long for its account's turn
        std::size_t newcomerHosts = 3; // a host takes this part of its share until every other host counts it
        std::chrono::milliseconds shortestRetryAfter { 200 };
        std::chrono::milliseconds longestRetryAfter { 3000 };
        std::size_t quickTries = 3; // targets asked for a free slot before the request waits for one
        std::size_t waitingTries = 2;
        std::size_t lateTries = 2;
    };

    boost::asio::io_context& io;
    Options options;
    HeaderNames headers;
    std::string service; // of the target of this host
    Locality here;
    net::HttpClient& hops;
    dispatch::TargetBoard& board;
    dispatch::AttemptBudget& attempts;
    dispatch::RateShares& shares;
    dispatch::FreshnessProof& proof;
    std::shared_ptr<const PolicySnapshot> snapshot; // null before the first configuration
    std::size_t hosts = 1; // that share every account and the attempts
    bool isNewcomer = false;
    EntryCounters counters;
    std::mt19937_64 random { std::random_device {}() };
};

} // namespace coriandergate::relay
