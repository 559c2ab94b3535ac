#include "fleet/TableCache.h"

#include "fleet/RelayWatchCodec.h"
#include "fleet/StoreVersion.h"
#include "http/CborMessage.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace coriandergate::fleet {

using namespace std::chrono_literals;

namespace {

    auto makeCache() -> TableCache
    {
        TableCache cache;
        cache.update(
            { .rows = { { "a", "1", 5, false }, { "b", "1", 7, false } }, .newestVersion = 9, .storeTime = 60s }, true);
        return cache;
    }

} // namespace

TEST_CASE("a row that is missing from a snapshot is sent as removed")
{
    auto cache = makeCache();
    cache.update({ .rows = { { "a", "1", 5, false } }, .newestVersion = 12, .storeTime = 61s }, true);
    CHECK(cache.changesAfter(9).rows == std::vector<StoreRow> { { "b", "", 12, true } });
    CHECK_FALSE(cache.hasChangesAfter(12));
}

// Guards against rows of the earlier era that outlive a restore: their versions were greater.
TEST_CASE("the first rows of a later era replace the table, and rows of an earlier one are ignored")
{
    auto cache = makeCache();
    cache.update({ .rows = { { "a", "0", makeVersion(1, 3), false } },
                     .newestVersion = makeVersion(1, 6),
                     .storeTime = 58s }, // the clock went back as well
        true);
    CHECK(cache.changesAfter(9).rows == std::vector<StoreRow> { { "a", "0", makeVersion(1, 3), false } });
    CHECK(cache.storeTime() == 58s);
    CHECK(cache.confirmations() == 2);
    cache.update({ .rows = { { "a", "1", 15, false } }, .newestVersion = 15, .storeTime = 70s }, true);
    CHECK(cache.find("a")->value == "0");
    CHECK(cache.newestVersion() == makeVersion(1, 6));
    CHECK(cache.storeTime() == 58s);
}

TEST_CASE("versions travel between daemons with their era, and without one from earlier daemons")
{
    Error reason;
    const StoreResponse response {
        .rows = { { "a", "0", makeVersion(3, 4), false } }, .newestVersion = makeVersion(3, 6), .storeTime = 58s
    };
    const auto decoded = decodeRelayWatchResponse(encodeRelayWatchResponse(response), reason);
    REQUIRE(decoded);
    CHECK(decoded->rows == response.rows);
    CHECK(decoded->newestVersion == response.newestVersion);

    const auto request = encodeRelayWatchRequest({ .table = "op", .after = makeVersion(3, 4), .acceptsAnyAge = true });
    const auto body = request.substr(request.find("\r\n\r\n") + 4);
    const auto decodedRequest = decodeRelayWatchRequest(body, reason);
    REQUIRE(decodedRequest);
    CHECK(decodedRequest->after == makeVersion(3, 4));
    CHECK(decodedRequest->acceptsAnyAge);

    using nlohmann::json;
    const auto earlier = http::cborBytes(json::array({ 6, 58000, json::array({ { "a", "0", 4, false } }) }));
    REQUIRE(decodeRelayWatchResponse(earlier, reason));
    CHECK(decodeRelayWatchResponse(earlier, reason)->newestVersion == 6);
    const auto outOfRange = http::cborBytes(json::array({ 6, 58000, json::array(), maximumEra + 1 }));
    CHECK_FALSE(decodeRelayWatchResponse(outOfRange, reason));
    CHECK(reason.toText().find("out of range") != std::string::npos);
}

} // namespace coriandergate::fleet
