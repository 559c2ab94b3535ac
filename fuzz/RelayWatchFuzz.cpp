// Requests and responses by which daemons read the store's rows from each other. The first byte chooses one.
#include "base/Error.h"
#include "fleet/RelayWatchCodec.h"
#include "fleet/StoreVersion.h"
#include "fuzz/RepeatedParts.h"
#include "fuzz/Require.h"
#include "http/CborMessage.h"

#include <cstdint>

using namespace coriandergate;
using coriandergate::fuzz::require;

auto coriandergate::fuzz::testOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    if (size < 1)
        return 0;
    const std::string body(reinterpret_cast<const char*>(data) + 1, size - 1);
    Error reason;
    if (data[0] % 2 == 0) {
        if (const auto request = fleet::decodeRelayWatchRequest(body, reason))
            require(std::chrono::abs(request->wait) <= http::maximumMessageTime);
    } else if (const auto response = fleet::decodeRelayWatchResponse(body, reason)) {
        require(std::chrono::abs(response->storeTime) <= http::maximumMessageTime);
        for (const auto& row : response->rows)
            require(fleet::eraOf(row.version) == fleet::eraOf(response->newestVersion));
        require(fleet::decodeRelayWatchResponse(fleet::encodeRelayWatchResponse(*response), reason).has_value());
    }
    return 0;
}
