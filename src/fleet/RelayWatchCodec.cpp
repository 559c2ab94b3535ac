#include "fleet/RelayWatchCodec.h"

#include "fleet/StoreVersion.h"
#include "http/CborMessage.h"

namespace coriandergate::fleet {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    // Versions travel as the store gave them out, beside their common era, because earlier daemons don't know eras.
    class VersionReader {
    public:
        // VersionReader() reads the era at `index` of `message`; 0 from a daemon that doesn't send one.
        VersionReader(const json& message, std::size_t index)
            : m_era(message.size() > index ? http::readInteger<std::uint64_t>(message.at(index)) : 0)
            , m_isInRange(m_era <= maximumEra)
        {
        }

        [[nodiscard]] auto read(const json& value) -> std::uint64_t
        {
            const auto number = http::readInteger<std::uint64_t>(value);
            m_isInRange = m_isInRange && number <= maximumVersionNumber;
            return m_isInRange ? makeVersion(m_era, number) : 0;
        }

        // isInRange() returns false, with a reason, if the era or a version was too large.
        [[nodiscard]] auto isInRange(const char* step, Error& reason) const -> bool
        {
            if (!m_isInRange)
                reason = { step, {}, "a version or its era is out of range" };
            return m_isInRange;
        }

    private:
        std::uint64_t m_era;
        bool m_isInRange;
    };

} // namespace

auto encodeRelayWatchRequest(const RelayWatchRequest& request) -> std::string
{
    return http::makeCborRequest(relayWatchPath,
        json::array({ request.table, numberOf(request.after), request.wait.count(), request.isSnapshot,
            request.canOutliveOutage, eraOf(request.after), request.acceptsAnyAge, request.isFromRelay }));
}

auto decodeRelayWatchRequest(const std::string& body, Error& reason) -> std::optional<RelayWatchRequest>
{
    constexpr const char* step = "decode watch request";
    RelayWatchRequest request;
    bool isInRange = false;
    const bool isDecoded = http::readCbor(body, step, reason, [&](const json& value) {
        request.table = value.at(0).get<std::string>();
        VersionReader versions(value, 5);
        request.after = versions.read(value.at(1));
        isInRange = versions.isInRange(step, reason);
        request.wait = http::readTime(value.at(2));
        // Daemons of version 0.1.0 don't send the following fields.
        request.isSnapshot = value.size() > 3 && value.at(3).get<bool>();
        request.canOutliveOutage = value.size() > 4 && value.at(4).get<bool>();
        request.acceptsAnyAge = value.size() > 6 && value.at(6).get<bool>();
        request.isFromRelay = value.size() > 7 && value.at(7).get<bool>();
    });
    return isDecoded && isInRange ? std::optional(std::move(request)) : std::nullopt;
}

auto encodeRelayWatchResponse(const StoreResponse& response) -> std::string
{
    auto rows = json::array();
    for (const auto& row : response.rows)
        rows.push_back(json::array({ row.key, row.value, numberOf(row.version), row.isRemoved }));
    return http::cborBytes(json::array(
        { numberOf(response.newestVersion), response.storeTime.count(), rows, eraOf(response.newestVersion) }));
}

auto decodeRelayWatchResponse(const std::string& body, Error& reason) -> std::optional<StoreResponse>
{
    constexpr const char* step = "decode watch response";
    StoreResponse response;
    bool isInRange = false;
    const bool isDecoded = http::readCbor(body, step, reason, [&](const json& value) {
        VersionReader versions(value, 3);
        response.newestVersion = versions.read(value.at(0));
        response.storeTime = http::readTime(value.at(1));
        for (const auto& row : value.at(2))
            response.rows.push_back({ row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                versions.read(row.at(2)), row.at(3).get<bool>() });
        isInRange = versions.isInRange(step, reason);
    });
    return isDecoded && isInRange ? std::optional(std::move(response)) : std::nullopt;
}

} // namespace coriandergate::fleet
