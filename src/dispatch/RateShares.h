// This host's part of each client account's rate and burst.
//
// The parts of all hosts add up to no more than the account may use in any window, whether the hosts hear each other or
// not, so nothing has to be agreed while requests run. What the window allows beyond the rate is a bucket's depth.
//
// Load patterns: one account at several times its rate; callers of one account at few hosts.
//
//   RateShares shares({ .window = 5s, .overage = 0.1, .slack = 20 });
//   const auto wait = shares.take(account, hosts, patience, now); // nothing: over the rate
#pragma once

#include "base/Clock.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::config {
struct ClientAccount;
}

namespace coriandergate::dispatch {

// RateShares is used by one thread.
class RateShares {
public:
    struct Options {
        std::chrono::milliseconds window { 5000 }; // over which the account's use is counted
        double overage = 0.1; // part by which the window's sum may be exceeded
        double slack = 20; // requests by which it may be exceeded besides
        double usedPart = 0.85; // of what the window allows beyond the rate
    };

    // RateShares() starts with empty buckets at `startedAt`: what this host spent before isn't known.
    RateShares(const Options& options, MonotonicTime startedAt)
        : m_options(options)
        , m_startedAt(startedAt)
    {
    }

    // take() takes one request of `account`: how long it must wait for its turn, at most `patience`; nothing when its
    // turn comes later. `hosts` is how many hosts share the account.
    [[nodiscard]] auto take(const config::ClientAccount& account, std::size_t hosts, std::chrono::milliseconds patience,
        MonotonicTime now) -> std::optional<std::chrono::milliseconds>;

    // turnIn() is how long until the account's next turn at this host.
    [[nodiscard]] auto turnIn(std::string_view account, MonotonicTime now) const -> std::chrono::milliseconds;

private:
    struct Bucket {
        double tokens = 0;
        double perSecond = 0;
        double depth = 0;
        MonotonicTime filledAt;
    };

    auto refill(Bucket& bucket, const config::ClientAccount& account, std::size_t hosts, MonotonicTime now) const
        -> void;

    Options m_options;
    MonotonicTime m_startedAt;
    std::map<std::string, Bucket, std::less<>> m_buckets;
};

} // namespace coriandergate::dispatch
