// State that all requests of one entry share.
//
// An entry is the daemon that accepts a caller's request, chooses a target for it and forwards it to the daemon on that
// target's host (the peer).
//
//   context.snapshot = std::make_shared<const PolicySnapshot>(std::move(configuration));
//   context.markReady();
//   EntryRequest::start(context, exchange);
#pragma once

#include "dispatch/CallRatio.h"
#include "dispatch/Evacuations.h"
#include "dispatch/Hedging.h"
#include "dispatch/LoadBalancer.h"
#include "dispatch/ResponseSizes.h"
#include "dispatch/RetryBudget.h"
#include "dispatch/StalenessTracker.h"
#include "dispatch/TargetSearch.h"
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
#include <string_view>
#include <vector>

namespace coriandergate::dispatch {
class RunningPriorities;
}

namespace coriandergate::fleet {
class HostDirectory;
}

namespace coriandergate::relay {

// The reason of responses to requests that a daemon can't serve because it stops.
inline constexpr std::string_view shutdownReason = "the daemon stops";

class CrashRegistry;
class EntryRequest;

// EntryContext is used on the thread of its io_context. Everything that it refers to outlives it.
struct EntryContext {
    // OpenRequests holds the requests that are authenticated and not yet destroyed.
    using OpenRequests = std::map<const EntryRequest*, std::weak_ptr<EntryRequest>>;

    // The destructor cancels all requests. Some of them may be destroyed later, with the io_context.
    ~EntryContext();

    // markReady() is called once configuration and hosts are known; it starts the requests that waited for them.
    auto markReady() -> void;

    // nextSplitPosition() returns the number by which the next request of `route` chooses one of its services. The
    // numbers of a route are a Weyl sequence: any run of them is spread evenly, more so than random numbers.
    [[nodiscard]] auto nextSplitPosition(const std::string& route) -> std::uint64_t;

    // stopsBefore() returns whether the daemon stops, and its requests get their responses before `time`.
    [[nodiscard]] auto stopsBefore(MonotonicTime time) const -> bool
    {
        return shutdownDeadline && time > *shutdownDeadline;
    }

    struct Options {
        // The deployment has client accounts, so routes that aren't open need an API key whatever the configuration
        // says.
        bool requiresApiKeys = false;
        // From the daemon's start; requests that arrive before the first configuration and host list wait for them this
        // long. Twice the store's usual response time.
        std::chrono::milliseconds startupWait { 600 };
        // For a peer in the same region to respond, in addition to the time spent waiting for a slot.
        std::chrono::milliseconds peerTimeout { 150 };
        std::chrono::milliseconds crossRegionPeerTimeout { 260 }; // the same for a peer in another region
        std::chrono::milliseconds rateLimitTimeout { 120 }; // for a rate limit owner in this region
        std::chrono::milliseconds crossRegionRateLimitTimeout { 250 }; // for an owner in another region
        std::chrono::milliseconds borrowTimeout { 100 }; // for a host of this data centre to lend a retry
        std::size_t maximumLenders = 2;
        std::chrono::milliseconds crashReportTimeout { 250 }; // for any host of the fleet to record a crash
        std::chrono::milliseconds rateLimitOwnerBackoff { 1000 }; // an owner that gave no decision is skipped this long
        std::chrono::milliseconds minimumRetryAfter { 200 };
        std::chrono::milliseconds maximumRetryAfter { 3000 };
        dispatch::TargetSearch::Options search;
    };

    boost::asio::io_context& io;
    Options options;
    HeaderNames headers;
    std::string hostKey; // of this host in the host directory
    std::string service; // of this host's target
    Locality locality;
    net::HttpClient& peerClient;
    dispatch::LoadBalancer& loadBalancer;
    dispatch::RetryBudget& retryBudget;
    dispatch::CallRatio& callRatio; // calls per request executed by this host's target
    dispatch::StalenessTracker& configurationFreshness;
    dispatch::StalenessTracker& hostListFreshness;
    const fleet::HostDirectory& directory;
    CrashRegistry& crashRegistry;
    const dispatch::RunningPriorities* runningPriorities = nullptr; // of this host's target; null: not known
    std::shared_ptr<const PolicySnapshot> snapshot; // null until the first configuration arrives
    dispatch::Evacuations evacuations;
    MonotonicTime startedAt = monotonicNow();
    bool isReady = false; // configuration and hosts are known; never reset
    std::vector<std::weak_ptr<EntryRequest>> pendingRequests; // wait for isReady
    std::size_t hostCount = 1; // hosts that share the retry budget
    std::map<std::string, MonotonicTime> rateLimitOwnerAvoidedUntil; // by host; the owner gave no decision
    std::map<std::string, MonotonicTime> rateExhaustedUntil; // by "account@host"; the owner had no request left
    std::map<std::string, dispatch::RetryBudget::CallsPerRequest> callsPerRequest; // by service, as last reported
    std::map<std::string, std::uint64_t> splitPositions; // by route name
    dispatch::ResponseSizes responseSizes { {} };
    dispatch::Hedging hedging { {} };
    std::shared_ptr<OpenRequests> openRequests = std::make_shared<OpenRequests>();
    std::optional<MonotonicTime> shutdownDeadline; // set at shutdown; every request gets its response by then
    std::optional<MonotonicTime> callerPortClosesAt; // set at shutdown; requests that arrive later are refused
    EntryCounters counters;
    std::mt19937_64 random { std::random_device {}() };
};

} // namespace coriandergate::relay
