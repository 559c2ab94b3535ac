// Settings of one daemon: its host, its target and the limits that it must observe.
//
//   HostSettings settings;
//   settings.service = "ledger";
#pragma once

#include "base/Locality.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace coriandergate::sidecar {

// More second attempts than this would take the retry budget from requests that failed.
inline constexpr double maximumHedgingLimit = 0.2;

// HostSettings is a value; each field has its unit in its type or comment.
struct HostSettings {
    std::string hostName;
    std::string hostAddress; // IP address
    Locality locality;
    bool isFirstStart = false; // of the whole deployment: no host has a row in the store yet
    std::size_t regionCount = 1; // of the whole deployment
    std::map<std::string, std::string> regionByDataCentre; // of the whole deployment; empty if it isn't known
    std::string callerListenAddress; // for requests of callers on this host
    std::string peerListenAddress; // for requests of other daemons
    std::string peerAddress; // address that other daemons connect to; empty if it equals peerListenAddress
    std::string controlListenAddress; // for control calls of this host's target
    std::string readinessListenAddress; // for the platform's readiness probe
    std::string metricsListenAddress; // empty for no metrics
    std::string targetAddress;
    std::string service; // of the target
    std::string storeAddress;
    bool requiresApiKeys = false; // the deployment has client accounts, also while the configuration lists none
    std::size_t memoryLimitMegabytes = 256; // of this process
    std::size_t fileDescriptorLimit = 1024; // of this process

    std::chrono::milliseconds stopGracePeriod { 6000 }; // from the stop signal until the process is killed
    std::chrono::milliseconds revocationBound { 5000 }; // until a withdrawn API key is rejected on all hosts
    std::chrono::milliseconds rateLimitWindow { 5000 };
    double rateLimitOverage = 0.1; // fraction by which a client account may exceed its limit in a window
    double rateLimitSlack = 20; // requests by which it may exceed the limit in addition
    std::chrono::milliseconds retryBudgetWindow { 10000 };
    double retryBudgetRatio = 0.2; // retries allowed per request
    double retryBudgetAllowance = 64; // additional retries per window, over all hosts
    double hedgingLimit = 0; // second attempts per request to a service, 0 to maximumHedgingLimit; 0 for none
    // Factor by which a second may exceed the requests per second that a cold target tolerates; 0: the deployment has
    // no bound for cold targets.
    double coldOverage = 0;
    bool limitsWarmTarget = false; // the bound of a cold target holds for a warm one too
    double coldSlack = 0; // requests by which a second may exceed it in addition

    // knownRegions() are the regions of the whole deployment; empty if they aren't known.
    [[nodiscard]] auto knownRegions() const -> std::set<std::string>
    {
        std::set<std::string> regions;
        for (const auto& [dataCentre, region] : regionByDataCentre)
            regions.insert(region);
        return regions;
    }

    friend auto operator==(const HostSettings&, const HostSettings&) -> bool = default;
};

} // namespace coriandergate::sidecar
