// Responses of the store. The first byte chooses the status; the first line is the era, the rest the body.
#include "fleet/StoreVersion.h"
#include "fuzz/RepeatedParts.h"
#include "fuzz/Require.h"
#include "http/Answer.h"
#include "platform/ProtocolNames.h"
#include "platform/StoreCodec.h"

#include <algorithm>
#include <array>
#include <cstdint>

using namespace coriandergate;
using coriandergate::fuzz::require;

auto coriandergate::fuzz::testOneInput(const std::uint8_t* data, std::size_t size) -> int
{
    constexpr std::array statuses { 200, 412, 410, 503 };
    constexpr std::chrono::hours maximumTime { 24 * 366 * 10 };
    if (size < 1)
        return 0;
    const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
    const auto lineEnd = std::min(text.find('\n'), text.size());
    auto answer = http::makeAnswer(
        statuses.at(data[0] % statuses.size()), "application/json", text.substr(std::min(lineEnd + 1, text.size())));
    if (lineEnd > 0)
        answer.headers.add(platform::storeEraHeader, text.substr(0, lineEnd));
    const auto page = platform::decodeStoreAnswer(answer, "read", "store");
    if (const auto* failure = std::get_if<fleet::StoreFailure>(&page.result)) {
        require(!failure->error.reason.empty() && failure->era <= fleet::maximumEra);
        return 0;
    }
    const auto& response = std::get<fleet::StoreResponse>(page.result);
    require(response.storeTime.count() >= 0 && response.storeTime <= maximumTime);
    for (const auto& row : response.rows)
        require(fleet::eraOf(row.version) == fleet::eraOf(response.newestVersion));
    return 0;
}
