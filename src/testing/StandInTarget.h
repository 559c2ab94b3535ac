// A target for tests: a plain HTTP server that announces itself, takes a set time for each request, keeps what it saw,
// and misbehaves on command.
//
//   GET /_seen     what it saw: {"slots", "highestConcurrency", "cancelled", "requests": [{"method", "path", "headers",
//                  "bodyBytes", "bodyDigest", "milliseconds"}]}; times count from its start
//   GET /_mode     how it behaves; POST changes it (see TargetMode.h)
//   any other      200 with the request's body, after the service time; a request header x-service-time (milliseconds)
//                  sets the time for that request
//
//   StandInTarget target({ .service = "ledger", .admin = "127.0.0.1:7102" });
//   Error reason;
//   if (!target.start(reason)) ...
//   target.leave([] { QCoreApplication::quit(); });
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace coriandergate {
struct Error;
}

namespace coriandergate::testing {

// StandInTarget works in the event loop of the thread that made it and is used from that thread only.
class StandInTarget {
public:
    struct Options {
        std::string service = "service";
        std::uint16_t port = 0; // 0: any free one
        std::uint32_t slots = 6;
        std::chrono::milliseconds serviceTime { 0 };
        std::string admin; // IP:port of the admin listener of the daemon to announce to; empty: announces to nobody
        std::chrono::milliseconds announceInterval { 500 };
        std::chrono::milliseconds linger { 3500 }; // serves on for so long after it left
        std::uint64_t seed = 1; // of the draws for failRate
    };

    explicit StandInTarget(const Options& options);
    ~StandInTarget();

    StandInTarget(const StandInTarget&) = delete;
    auto operator=(const StandInTarget&) -> StandInTarget& = delete;

    // start() listens on 127.0.0.1 and begins to announce; false with a reason when the port is taken.
    [[nodiscard]] auto start(Error& reason) -> bool;

    // port() is the port listened on, 0 before start().
    [[nodiscard]] auto port() const -> std::uint16_t;

    // leave() says good-bye to the daemon and calls `finished` once the linger time has passed and no request runs.
    auto leave(std::function<void()> finished) -> void;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace coriandergate::testing
