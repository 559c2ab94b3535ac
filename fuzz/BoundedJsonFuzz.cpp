// JSON and CBOR of any origin.
#include "base/BoundedJson.h"
#include "base/Error.h"
#include "fuzz/RepeatedParts.h"
#include "fuzz/Require.h"

#include <algorithm>
#include <cstdint>

using namespace coriandergate;
using coriandergate::fuzz::require;
using nlohmann::json;

namespace {

auto depthOf(const json& value) -> std::size_t
{
    std::size_t depth = 0;
    if (!value.is_structured())
        return depth;
    for (const auto& item : value)
        depth = std::max(depth, depthOf(item));
    return depth + 1;
}

} // namespace

auto coriandergate::fuzz::testOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    Error reason;
    if (const auto value = parseBoundedJson(bytes, reason)) {
        require(depthOf(*value) <= maximumJsonDepth);
        const auto text = value->dump(-1, ' ', false, json::error_handler_t::replace);
        require(parseBoundedJson(text, reason).has_value());
    }
    if (const auto value = parseBoundedCbor(bytes, reason)) {
        require(depthOf(*value) <= maximumJsonDepth);
        const auto encoded = json::to_cbor(*value);
        require(
            parseBoundedCbor({ reinterpret_cast<const char*>(encoded.data()), encoded.size() }, reason).has_value());
    }
    return 0;
}
