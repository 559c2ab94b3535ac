// How the daemon divides the memory and the descriptors of its process.
//
//   net::HttpServer server(io, callerOptions(settings, limits), handler);
#pragma once

#include "net/HttpServer.h"

#include <cstddef>

namespace coriandergate::config {
struct CallerLimits;
}

namespace coriandergate::sidecar {

struct HostSettings;

// maximumAnswerBytes() bounds the responses that the target is sending, and as many bytes again those that peers are.
[[nodiscard]] auto maximumAnswerBytes(const HostSettings& settings) -> std::size_t;

// callerOptions() are those of the server for callers; peerOptions() those of the server for other daemons;
// controlOptions() those of each of the servers for the target's control calls, for probes and for metrics.
[[nodiscard]] auto callerOptions(const HostSettings& settings, const config::CallerLimits& limits)
    -> net::HttpServer::Options;
[[nodiscard]] auto peerOptions(const HostSettings& settings) -> net::HttpServer::Options;
[[nodiscard]] auto controlOptions(const HostSettings& settings) -> net::HttpServer::Options;

} // namespace coriandergate::sidecar
