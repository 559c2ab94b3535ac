// Renders the metrics of one sidecar daemon in the Prometheus text format.
//
//   exchange->answer(http::makeAnswer(200, "text/plain", renderMetricsPage(metrics)));
#pragma once

#include "net/HttpServer.h"
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
    relay::TargetLoadReport loadReport;
    std::optional<std::chrono::milliseconds> configurationAge; // nothing before the first response of the store
    std::uint64_t configurationVersion = 0; // of the configuration in force
    std::size_t evacuatedDataCentres = 0;
    std::optional<std::chrono::milliseconds> evacuationAge; // of the oldest evacuation in force
    std::size_t hostCount = 0;
    std::size_t callerConnections = 0;
    std::size_t openRequests = 0;
    std::uint64_t targetConnectionsOpened = 0; // since the start
    std::uint64_t peerConnectionsOpened = 0; // since the start
    std::uint64_t storeEra = 0; // how often the store came back from an older copy
    std::uint64_t rowsWrittenAgain = 0; // after that, since the start
    net::HttpServer::ReleaseCounters released; // over all servers
    std::size_t bufferedBytes = 0; // over all servers
    std::uint64_t lateResponses = 0; // of the target of this host, since the start
    bool isTargetCold = false; // the target of this host, or taken for it
    std::uint64_t heldBack = 0; // requests to it that waited or were refused for that reason, since the start
    std::uint64_t gaveWay = 0; // requests that waited for it and were refused for those of other accounts
    std::size_t waitingAccounts = 0; // with requests that wait for it
};

// renderMetricsPage() returns the page. Thread-safe.
[[nodiscard]] auto renderMetricsPage(const SidecarMetrics& metrics) -> std::string;

} // namespace coriandergate::sidecar
