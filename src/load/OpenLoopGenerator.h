// An open-loop load: requests leave at seeded random times whether or not earlier ones were answered, so that a slow
// answer delays no later request and shows in full.
//
//   OpenLoopGenerator loop({ .peer = "127.0.0.1:7100", .requestsPerSecond = 150, .duration = 5s });
//   const LoadReport report = loop.run(); // needs a QCoreApplication
//   std::cout << report.quantile(0.99).count();
#pragma once

#include "base/Clock.h"
#include "http/Client.h"
#include "load/LoadReport.h"

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

class QEventLoop;

namespace coriandergate::load {

// OpenLoopGenerator runs once, on the calling thread.
class OpenLoopGenerator {
public:
    struct Options {
        std::string peer; // IP:port
        double requestsPerSecond = 100;
        std::chrono::milliseconds duration { 1000 };
        std::chrono::milliseconds timeout { 5000 }; // of a request
        std::uint64_t seed = 1;
        http::Request request;
        bool addsIdempotencyKey = false; // a fresh Idempotency-Key for each request
    };

    explicit OpenLoopGenerator(Options options);

    // run() sends for the duration, waits for the last answers and returns what was measured.
    [[nodiscard]] auto run() -> LoadReport;

private:
    auto sendDue(MonotonicTime now) -> void;
    auto send(MonotonicTime due) -> void;
    auto drawGap() -> MonotonicDuration;

    Options m_options;
    http::Client m_client;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_gaps;
    LoadReport m_report;
    MonotonicTime m_nextDue;
    MonotonicTime m_end;
    std::uint64_t m_underWay = 0;
    std::uint64_t m_sent = 0;
};

} // namespace coriandergate::load
