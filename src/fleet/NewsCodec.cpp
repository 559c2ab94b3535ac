#include "fleet/NewsCodec.h"

#include "fleet/RelayedFeed.h"

#include "http/Request.h"
#include "http/Serialize.h"

#include <nlohmann/json.hpp>

namespace coriandergate::fleet {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

    auto toBytes(const json& value) -> std::string
    {
        const auto bytes = json::to_cbor(value);
        return { bytes.begin(), bytes.end() };
    }

} // namespace

auto encodeNewsAsk(const NewsAsk& ask) -> std::string
{
    http::Request request;
    request.method = "POST";
    request.target = RelayedFeed::s_path;
    request.headers.add("Host", "peer");
    request.body = toBytes(json::array({ ask.table, ask.after, ask.wait.count() }));
    return http::serializeRequest(request);
}

auto decodeNewsAsk(const std::string& body, Error& reason) -> std::optional<NewsAsk>
{
    try {
        const auto value = json::from_cbor(body);
        return NewsAsk { value.at(0).get<std::string>(), value.at(1).get<std::uint64_t>(),
            milliseconds(value.at(2).get<milliseconds::rep>()) };
    } catch (const json::exception& exception) {
        reason = { "decode question for news", "", exception.what() };
        return std::nullopt;
    }
}

auto encodeNews(const StoreAnswer& answer) -> std::string
{
    auto rows = json::array();
    for (const auto& row : answer.rows)
        rows.push_back(json::array({ row.key, row.value, row.version, row.isRemoved }));
    return toBytes(json::array({ answer.newestVersion, answer.storeTime.count(), rows }));
}

auto decodeNews(const std::string& body, Error& reason) -> std::optional<StoreAnswer>
{
    try {
        const auto value = json::from_cbor(body);
        StoreAnswer answer;
        answer.newestVersion = value.at(0).get<std::uint64_t>();
        answer.storeTime = milliseconds(value.at(1).get<milliseconds::rep>());
        for (const auto& row : value.at(2))
            answer.rows.push_back({ row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                row.at(2).get<std::uint64_t>(), row.at(3).get<bool>() });
        return answer;
    } catch (const json::exception& exception) {
        reason = { "decode news", "", exception.what() };
        return std::nullopt;
    }
}

} // namespace coriandergate::fleet
