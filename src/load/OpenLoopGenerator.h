// An open-loop load generator: it sends requests with seeded random (exponentially distributed) intervals, without
// waiting for earlier responses, so that a slow response does not delay later requests and its latency shows in full.
//
//   OpenLoopGenerator generator({ .peer = "127.0.0.1:7100", .requestsPerSecond = 150, .duration = 5s });
//   const LoadReport report = generator.run(); // needs a QCoreApplication
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

// OpenLoopGenerator is for a single run, on the calling thread.
class OpenLoopGenerator {
public:
    struct Options {
        std::string peer; // IP:port
        double requestsPerSecond = 100;
        std::chrono::milliseconds duration { 1000 };
        std::chrono::milliseconds timeout { 5000 }; // per request
        std::uint64_t seed = 1;
        http::Request request;
        bool addsIdempotencyKey = false; // a new Idempotency-Key header for each request
    };

    explicit OpenLoopGenerator(Options options);

    // run() sends requests for the configured duration, waits for all to end and returns the report.
    [[nodiscard]] auto run() -> LoadReport;

private:
    auto sendDue(MonotonicTime now) -> void;
    auto send(MonotonicTime sentAt) -> void;
    auto nextInterval() -> MonotonicDuration;

    Options m_options;
    http::Client m_client;
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_intervalSeconds;
    LoadReport m_report;
    MonotonicTime m_nextSendAt;
    MonotonicTime m_endAt;
    std::uint64_t m_inFlightRequests = 0;
    std::uint64_t m_sentRequests = 0;
};

} // namespace coriandergate::load
