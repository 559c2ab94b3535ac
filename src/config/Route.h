// A route: which requests it takes, which service serves them, and what may be done with them.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace coriandergate::config {

// RepeatPolicy says whether a request that may have run may be sent again.
enum class RepeatPolicy {
    Idempotent,
    OnceOnly,
};

// TrafficPart is the share of a split route's requests that one service gets.
struct TrafficPart {
    std::string service;
    double weight = 1; // relative to the other parts of the route

    friend auto operator==(const TrafficPart&, const TrafficPart&) -> bool = default;
};

// Route is one entry of a Configuration. A request matches when its Host equals `host` (or `host` is empty) and its
// path starts with `pathPrefix` at a segment border; the longest prefix wins.
struct Route {
    std::string name;
    std::string host;
    std::string pathPrefix;
    std::string service;
    bool isOpen = false; // served without a key
    std::vector<std::string> clientAccounts; // accounts allowed; empty: every account
    RepeatPolicy repeatPolicy = RepeatPolicy::OnceOnly;
    std::chrono::milliseconds deadline { 5000 };
    std::size_t maximumRequestBytes = 1 << 20;
    std::size_t maximumAnswerBytes = 8 << 20;
    std::chrono::milliseconds targetLatency { 1000 }; // an answer within it is of full use to the caller
    std::size_t maximumAttempts = 3; // targets that may run one request, when it is idempotent
    int priority = 0; // 0 is the most urgent
    std::vector<TrafficPart> split; // empty: all requests go to `service`
    std::vector<std::string> homeRegions; // the only regions in which requests may be executed; empty: all

    friend auto operator==(const Route&, const Route&) -> bool = default;
};

} // namespace coriandergate::config
