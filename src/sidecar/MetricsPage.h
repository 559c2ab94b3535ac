// The metrics of one sidecar daemon as a page of text, through the metrics library's serializer.
//
//   exchange->answer(http::makeAnswer(200, "text/plain", makeMetricsPage(figures)));
#pragma once

#include "relay/EntryCounters.h"
#include "relay/PeerMessages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace coriandergate::sidecar {

// MetricsFigures are read at the moment of the question.
struct MetricsFigures {
    const relay::EntryCounters& counters;
    relay::TargetLoadReport news;
    std::optional<std::chrono::milliseconds> proofAge;
    std::uint64_t version = 0; // of the configuration in force
    std::size_t hosts = 0;
    std::size_t callerConnections = 0;
    std::size_t openRequests = 0;
    std::uint64_t targetConnections = 0; // opened so far
    std::uint64_t hopConnections = 0; // opened so far
};

// makeMetricsPage() is the page. Safe from any thread.
[[nodiscard]] auto makeMetricsPage(const MetricsFigures& figures) -> std::string;

} // namespace coriandergate::sidecar
