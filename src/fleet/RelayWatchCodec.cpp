#include "fleet/RelayWatchCodec.h"

#include "http/CborMessage.h"

namespace coriandergate::fleet {

using nlohmann::json;
using std::chrono::milliseconds;

auto encodeRelayWatchRequest(const RelayWatchRequest& request) -> std::string
{
    return http::makeCborRequest(relayWatchPath,
        json::array(
            { request.table, request.after, request.wait.count(), request.isSnapshot, request.canOutliveOutage }));
}

auto decodeRelayWatchRequest(const std::string& body, Error& reason) -> std::optional<RelayWatchRequest>
{
    RelayWatchRequest request;
    const bool isDecoded = http::readCbor(body, "decode watch request", reason, [&request](const json& value) {
        request.table = value.at(0).get<std::string>();
        request.after = value.at(1).get<std::uint64_t>();
        request.wait = milliseconds(value.at(2).get<milliseconds::rep>());
        // Daemons of version 0.1.0 don't send the following fields.
        request.isSnapshot = value.size() > 3 && value.at(3).get<bool>();
        request.canOutliveOutage = value.size() > 4 && value.at(4).get<bool>();
    });
    return isDecoded ? std::optional(std::move(request)) : std::nullopt;
}

auto encodeRelayWatchResponse(const StoreResponse& response) -> std::string
{
    auto rows = json::array();
    for (const auto& row : response.rows)
        rows.push_back(json::array({ row.key, row.value, row.version, row.isRemoved }));
    return http::cborBytes(json::array({ response.newestVersion, response.storeTime.count(), rows }));
}

auto decodeRelayWatchResponse(const std::string& body, Error& reason) -> std::optional<StoreResponse>
{
    StoreResponse response;
    const bool isDecoded = http::readCbor(body, "decode watch response", reason, [&response](const json& value) {
        response.newestVersion = value.at(0).get<std::uint64_t>();
        response.storeTime = milliseconds(value.at(1).get<milliseconds::rep>());
        for (const auto& row : value.at(2))
            response.rows.push_back({ row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                row.at(2).get<std::uint64_t>(), row.at(3).get<bool>() });
    });
    return isDecoded ? std::optional(std::move(response)) : std::nullopt;
}

} // namespace coriandergate::fleet
