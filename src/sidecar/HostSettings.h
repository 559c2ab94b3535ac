// What a daemon is told about its host, its target and the bounds that it keeps.
#pragma once

#include "base/Locality.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace coriandergate::sidecar {

// HostSettings is a value; each field has its unit in its type or comment.
struct HostSettings {
    std::string hostName;
    std::string hostAddress; // IP number, the key of the host's row in the store
    Locality locality;
    std::size_t regionCount = 1; // of the whole deployment
    std::string callerListenAddress; // for callers of this host
    std::string peerListenAddress; // for other daemons
    std::string peerAddress; // where they reach it, if that isn't where it listens; else empty
    std::string controlListenAddress; // for the target of this host
    std::string readinessListenAddress; // for the platform's question whether the daemon takes callers
    std::string metricsListenAddress; // empty: none
    std::string targetAddress;
    std::string service; // of the target
    std::string storeAddress;
    std::size_t memoryMegabytes = 256; // of this process
    std::size_t fileDescriptors = 1024;

    std::chrono::milliseconds stopGracePeriod { 6000 }; // from the request to stop until the process is killed
    std::chrono::milliseconds revocationBound { 5000 }; // a withdrawn key stops working within it, everywhere
    std::chrono::milliseconds rateWindow { 5000 };
    double rateOverage = 0.1; // part by which a client account's use in a window may exceed its limit
    double rateSlack = 20; // requests by which it may exceed it besides
    std::chrono::milliseconds retryBudgetWindow { 10000 };
    double retryBudgetRatio = 0.2; // further attempts for each request
    double retryBudgetAllowance = 64; // further attempts a window, of all hosts together

    friend auto operator==(const HostSettings&, const HostSettings&) -> bool = default;
};

} // namespace coriandergate::sidecar
