#include "store/StoreProtocol.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace coriandergate::store {

namespace {

    using nlohmann::json;

    auto toBytes(const json& value) -> std::string
    {
        std::string bytes;
        json::to_cbor(value, bytes);
        return bytes;
    }

    // decodeWith() turns the exceptions of a wrong shape into a reason.
    template <typename Reader>
    auto decodeWith(std::string_view bytes, Error& reason, Reader read)
        -> std::optional<decltype(read(std::declval<json>()))>
    {
        try {
            return read(json::from_cbor(bytes.begin(), bytes.end()));
        } catch (const json::exception& exception) {
            reason = { "decode store message", {}, exception.what() };
            return std::nullopt;
        }
    }

} // namespace

auto encode(const Transaction& transaction) -> std::string
{
    auto writes = json::array();
    for (const auto& write : transaction.writes)
        writes.push_back({ { "key", write.key }, { "expected", write.expectedVersion }, { "value", write.value } });
    return toBytes({ { "operation", transaction.operationId }, { "writes", std::move(writes) } });
}

auto encode(const ListQuery& query) -> std::string
{
    return toBytes({ { "prefix", query.prefix }, { "after", query.after }, { "limit", query.limit } });
}

auto encode(const StoredObject& object) -> std::string
{
    return toBytes({ { "name", object.name }, { "content", object.content } });
}

auto encode(const std::vector<Row>& rows) -> std::string
{
    auto values = json::array();
    for (const auto& row : rows)
        values.push_back({ { "key", row.key }, { "version", row.version }, { "value", row.value },
            { "operation", row.operationId } });
    return toBytes(values);
}

auto decodeTransaction(std::string_view bytes, Error& reason) -> std::optional<Transaction>
{
    return decodeWith(bytes, reason, [](const json& value) {
        Transaction transaction { value.at("operation").get<std::string>(), {} };
        for (const auto& write : value.at("writes"))
            transaction.writes.push_back({ write.at("key").get<std::string>(),
                write.at("expected").get<std::uint64_t>(), write.at("value").get<std::string>() });
        return transaction;
    });
}

auto decodeListQuery(std::string_view bytes, Error& reason) -> std::optional<ListQuery>
{
    return decodeWith(bytes, reason, [](const json& value) {
        return ListQuery { value.at("prefix").get<std::string>(), value.at("after").get<std::string>(),
            value.at("limit").get<std::size_t>() };
    });
}

auto decodeObject(std::string_view bytes, Error& reason) -> std::optional<StoredObject>
{
    return decodeWith(bytes, reason, [](const json& value) {
        return StoredObject { value.at("name").get<std::string>(), value.at("content").get<std::string>() };
    });
}

auto decodeRows(std::string_view bytes, Error& reason) -> std::optional<std::vector<Row>>
{
    return decodeWith(bytes, reason, [](const json& value) {
        std::vector<Row> rows;
        for (const auto& row : value)
            rows.push_back({ row.at("key").get<std::string>(), row.at("version").get<std::uint64_t>(),
                row.at("value").get<std::string>(), row.at("operation").get<std::string>() });
        return rows;
    });
}

} // namespace coriandergate::store
