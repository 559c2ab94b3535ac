// What operators write to the store.
#include "base/Error.h"
#include "fuzz/RepeatedParts.h"
#include "fuzz/Require.h"
#include "platform/ConfigurationCodec.h"

#include <cstdint>

using namespace coriandergate;
using coriandergate::fuzz::require;

auto coriandergate::fuzz::testOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    constexpr std::chrono::hours maximumTime { 24 * 366 * 10 };
    const std::string text(reinterpret_cast<const char*>(data), size);
    Error reason;
    (void)platform::isSoundEvacuation(text, reason);
    const auto configuration = platform::decodeConfiguration(text, reason, { "west", "east" });
    if (!configuration) {
        require(!reason.reason.empty());
        return 0;
    }
    for (const auto& route : configuration->routes)
        require(route.deadline.count() >= 0 && route.deadline <= maximumTime);
    return 0;
}
