#include "sidecar/ResourceLimits.h"

#include "config/CallerLimits.h"
#include "relay/PeerMessages.h"
#include "sidecar/HostSettings.h"

#include <algorithm>

namespace coriandergate::sidecar {

using std::chrono::milliseconds;

namespace {

    // Part of the memory that the requests of callers may take as received bytes, and as much again those of peers. On
    // its way a body is held up to seven times by the entry and five times by the daemon beside the target, which may
    // be one process, and responses take up to a third of the memory.
    constexpr std::size_t requestBytesDivisor = 20;
    constexpr std::size_t answerBytesDivisor = 6; // beside the requests and a copy of each answer on its way out
    // In addition to the body of the caller's request, a peer sends its headers and how to run it.
    constexpr std::size_t peerMessageOverhead = 64 * 1024;
    // Of the file descriptors; the platform keeps so many for files, and the rest for sockets.
    constexpr std::size_t descriptorsForFiles = 200;
    // Half of the sockets may serve callers and a third peers. Three further ports take a forty-eighth each, and what
    // remains is for connections to the target, to peers and to the store.
    constexpr std::size_t callerConnectionDivisor = 2;
    constexpr std::size_t peerConnectionDivisor = 3;
    constexpr std::size_t controlConnectionDivisor = 48;
    constexpr std::size_t minimumControlConnections = 4; // a target, a prober, a reader of metrics, and one that leaves
    // Of control calls, probes and scrapes. Heartbeats take a few hundred bytes.
    constexpr std::size_t maximumControlBodyBytes = 64 * 1024;
    constexpr std::size_t controlBytesDivisor = 200;
    // Received bytes that wait in the kernel count as memory of the process. A caller is on the same host, so that a
    // small window doesn't slow it down.
    constexpr std::size_t localReceiveBufferBytes = 64 * 1024;
    constexpr std::size_t bytesPerMegabyte = 1024 * 1024;
    constexpr milliseconds peerServerIdleTimeout { 60000 };

    auto memoryPart(const HostSettings& settings, std::size_t divisor) -> std::size_t
    {
        return settings.memoryLimitMegabytes * bytesPerMegabyte / divisor;
    }

    auto socketLimit(const HostSettings& settings) -> std::size_t
    {
        const auto limit = settings.fileDescriptorLimit;
        return limit - std::min(descriptorsForFiles, limit / 2);
    }

} // namespace

auto maximumAnswerBytes(const HostSettings& settings) -> std::size_t
{
    return memoryPart(settings, answerBytesDivisor);
}

auto callerOptions(const HostSettings& settings, const config::CallerLimits& limits) -> net::HttpServer::Options
{
    net::HttpServer::Options options;
    options.maximumHeaderBytes = limits.maximumHeaderBytes;
    options.maximumBodyBytes = limits.maximumBodyBytes;
    options.headerTimeout = limits.headerTimeout;
    options.idleTimeout = limits.idleTimeout;
    options.maximumBufferedBytes = memoryPart(settings, requestBytesDivisor);
    options.maximumConnections = socketLimit(settings) / callerConnectionDivisor;
    options.receiveBufferBytes = localReceiveBufferBytes;
    return options;
}

auto peerOptions(const HostSettings& settings) -> net::HttpServer::Options
{
    const auto requestBytes = memoryPart(settings, requestBytesDivisor) + peerMessageOverhead;
    return { .maximumBodyBytes = requestBytes,
        .idleTimeout = peerServerIdleTimeout,
        .maximumConnections = socketLimit(settings) / peerConnectionDivisor,
        .maximumBufferedBytes = requestBytes,
        .refusalHeaders = relay::unreadRequestHeaders() };
}

auto controlOptions(const HostSettings& settings) -> net::HttpServer::Options
{
    return { .maximumBodyBytes = maximumControlBodyBytes,
        .maximumConnections = std::max(socketLimit(settings) / controlConnectionDivisor, minimumControlConnections),
        .maximumBufferedBytes = memoryPart(settings, controlBytesDivisor),
        .receiveBufferBytes = localReceiveBufferBytes };
}

} // namespace coriandergate::sidecar
