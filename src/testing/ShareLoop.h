// A seeded loop over the real decisions about seats and shares of many daemons, with messages that are delayed,
// dropped, repeated and reordered, and a plain counter of what reaches the targets.
//
//   ShareLoop loop({ .seed = 7, .daemons = 16 });
//   loop.at(5s, [&] { loop.kill(3); });
//   const auto result = loop.run();
//   CHECK(result.aboveLimit == 0);
#pragma once

#include "base/Clock.h"
#include "seat/SeatMap.h"
#include "share/RateLimitOptions.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace coriandergate::testing {

// ShareScheme is what decides: the product's way, or a naive one.
enum class ShareScheme {
    Leased,
    StaticSplit,
    CentralBucket,
};

// ShareLoopAccount is one client account and the requests a second that its callers send.
struct ShareLoopAccount {
    std::string name;
    double ratePerSecond = 10;
    double burst = 10;
    double offeredPerSecond = 7;
};

struct ShareLoopOptions {
    std::uint64_t seed = 1;
    ShareScheme scheme = ShareScheme::Leased;
    std::size_t daemons = 16;
    std::size_t seats = 16;
    std::chrono::milliseconds duration { 20000 };
    std::chrono::milliseconds measureFrom { 5000 }; // refusals before are not counted
    std::chrono::milliseconds measureUntil { 20000 };
    std::vector<ShareLoopAccount> accounts;
    double lossChance = 0;
    double repeatChance = 0;
    double slowChance = 0; // of a message that takes up to 400 ms
    std::chrono::milliseconds mapSpread { 100 }; // the latest that a daemon hears of a new map
    std::chrono::milliseconds detectionTime { 1500 }; // until the death of a daemon is known
    share::RateLimitOptions share;
};

struct ShareLoopResult {
    std::uint64_t aboveLimit = 0; // requests over burst + rate * T in any window, counted at the targets
    std::uint64_t requests = 0; // measured, of accounts that stay within their rate
    std::uint64_t wrongful = 0; // refused though one bucket for all hosts would have let them pass
    double worstAccount = 0; // its wrongful refusals per request
    double overloadedShare = 1; // what the least served account above its rate got, per rate
    std::uint64_t allRequests = 0;
    std::uint64_t messages = 0; // about tokens
    std::uint64_t bytes = 0;
    std::uint64_t controlMessages = 0; // about seats
    std::uint64_t controlBytes = 0;
    std::uint64_t late = 0; // tokens that were no longer good at the target
    std::uint64_t doubleHolds = 0; // moments at which two daemons held a seat
    std::chrono::milliseconds longestGap { 0 }; // in which a seat was held by nobody
    std::vector<std::chrono::microseconds> waits; // of the measured requests that were let pass, sorted
};

// ShareLoop runs once. Times are from its beginning.
class ShareLoop {
public:
    explicit ShareLoop(ShareLoopOptions options);
    ~ShareLoop();

    // at() runs `action` at `time`.
    auto at(std::chrono::milliseconds time, std::function<void()> action) -> void;

    // kill() ends a daemon; restart() starts it anew with another incarnation; pause() stops it for `time`, with the
    // messages to it kept.
    auto kill(std::size_t daemon) -> void;
    auto restart(std::size_t daemon) -> void;
    auto pause(std::size_t daemon, std::chrono::milliseconds time) -> void;

    // block() drops every message from one daemon to another; unblock() lets all pass again.
    auto block(std::size_t from, std::size_t to) -> void;
    auto unblock() -> void;

    // setStoreAway() makes the store unreachable: no seat map is written while it is.
    auto setStoreAway(bool isAway) -> void;

    // holderOf() is the daemon that the newest seat map names as the holder of a seat of `account`.
    [[nodiscard]] auto holderOf(const std::string& account, std::uint32_t split = 0) const -> std::size_t;

    [[nodiscard]] auto run() -> ShareLoopResult;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace coriandergate::testing
