// Heartbeats and deregistrations of targets. The first line is the request target, the rest the body.
#include "base/Error.h"
#include "fleet/HostRecord.h"
#include "fuzz/RepeatedParts.h"
#include "fuzz/Require.h"
#include "http/Request.h"
#include "platform/ControlCalls.h"

#include <cstdint>

using namespace coriandergate;
using coriandergate::fuzz::require;

auto coriandergate::fuzz::testOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto lineEnd = std::min(text.find('\n'), text.size());
    http::Request request;
    request.method = "POST";
    request.target = text.substr(0, lineEnd);
    request.body = text.substr(std::min(lineEnd + 1, text.size()));
    Error reason;
    const auto call = platform::decodeControlCall(request, reason);
    if (!call) {
        require(!reason.reason.empty());
        return 0;
    }
    if (const auto* heartbeat = std::get_if<fleet::Heartbeat>(&*call)) {
        constexpr std::chrono::hours maximumTime { 24 * 366 * 10 };
        require(!heartbeat->id.empty() && heartbeat->slots >= 1 && heartbeat->slots <= fleet::maximumSlots);
        const auto coldRemaining = heartbeat->coldRemaining.value_or(std::chrono::milliseconds(0));
        require(coldRemaining.count() >= 0 && coldRemaining <= maximumTime);
    }
    return 0;
}
