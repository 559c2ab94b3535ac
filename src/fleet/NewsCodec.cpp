#include "fleet/NewsCodec.h"

#include "http/CborMessage.h"

namespace coriandergate::fleet {

using nlohmann::json;
using std::chrono::milliseconds;

auto encodeNewsAsk(const NewsAsk& ask) -> std::string
{
    return http::makeCborRequest(newsPath, json::array({ ask.table, ask.after, ask.wait.count() }));
}

auto decodeNewsAsk(const std::string& body, Error& reason) -> std::optional<NewsAsk>
{
    NewsAsk ask;
    const bool isRead = http::readCbor(body, "decode question for news", reason, [&ask](const json& value) {
        ask.table = value.at(0).get<std::string>();
        ask.after = value.at(1).get<std::uint64_t>();
        ask.wait = milliseconds(value.at(2).get<milliseconds::rep>());
    });
    return isRead ? std::optional(std::move(ask)) : std::nullopt;
}

auto encodeNews(const StoreResponse& answer) -> std::string
{
    auto rows = json::array();
    for (const auto& row : answer.rows)
        rows.push_back(json::array({ row.key, row.value, row.version, row.isRemoved }));
    return http::cborBytes(json::array({ answer.newestVersion, answer.storeTime.count(), rows }));
}

auto decodeNews(const std::string& body, Error& reason) -> std::optional<StoreResponse>
{
    StoreResponse answer;
    const bool isRead = http::readCbor(body, "decode news", reason, [&answer](const json& value) {
        answer.newestVersion = value.at(0).get<std::uint64_t>();
        answer.storeTime = milliseconds(value.at(1).get<milliseconds::rep>());
        for (const auto& row : value.at(2))
            answer.rows.push_back({ row.at(0).get<std::string>(), row.at(1).get<std::string>(),
                row.at(2).get<std::uint64_t>(), row.at(3).get<bool>() });
    });
    return isRead ? std::optional(std::move(answer)) : std::nullopt;
}

} // namespace coriandergate::fleet
