#include "sidecar/ResourceLimits.h"

#include "config/CallerLimits.h"
#include "relay/PeerMessages.h"
#include "sidecar/HostSettings.h"

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
    constexpr std::size_t callerConnectionDivisor = 2; // half of the file descriptors may serve callers
    constexpr std::size_t peerConnectionDivisor = 3; // a third of the file descriptors may serve peers
    constexpr std::size_t bytesPerMegabyte = 1024 * 1024;
    constexpr milliseconds peerServerIdleTimeout { 60000 };

    auto memoryPart(const HostSettings& settings, std::size_t divisor) -> std::size_t
    {
        return settings.memoryLimitMegabytes * bytesPerMegabyte / divisor;
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
    options.maximumConnections = settings.fileDescriptorLimit / callerConnectionDivisor;
    return options;
}

auto peerOptions(const HostSettings& settings) -> net::HttpServer::Options
{
    const auto requestBytes = memoryPart(settings, requestBytesDivisor) + peerMessageOverhead;
    return { .maximumBodyBytes = requestBytes,
        .idleTimeout = peerServerIdleTimeout,
        .maximumConnections = settings.fileDescriptorLimit / peerConnectionDivisor,
        .maximumBufferedBytes = requestBytes,
        .refusalHeaders = relay::unreadRequestHeaders() };
}

} // namespace coriandergate::sidecar
