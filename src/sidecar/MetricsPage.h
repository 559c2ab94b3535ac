// Renders the metrics of one sidecar daemon in the Prometheus text format.
//
//   exchange->answer(http::makeAnswer(200, "text/plain", renderMetricsPage(metrics)));
#pragma once

#include "relay/EntryCounters.h"
#include "relay/PeerMessages.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace coriandergate::sidecar {

// SidecarMetrics holds the values at the time of the scrape.
struct SidecarMetrics {
    const relay::EntryCounters& counters;
    relay::TargetLoadReport news;
    std::optional<std::chrono::milliseconds> proofAge; // of the newest response of the store
    std::uint64_t version = 0; // of the configuration in force
    std::size_t hosts = 0;
    std::size_t callerConnections = 0;
    std::size_t openRequests = 0;
    std::uint64_t targetConnections = 0; // opened so far
    std::uint64_t hopConnections = 0; // opened so far
};

// renderMetricsPage() returns the page. Thread-safe.
[[nodiscard]] auto renderMetricsPage(const SidecarMetrics& metrics) -> std::string;

} // namespace coriandergate::sidecar
