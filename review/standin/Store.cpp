#include "Store.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace review {

using nlohmann::json;

namespace {

    auto encodeBase64(const std::string& bytes) -> std::string
    {
        constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j)
                group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
            for (std::size_t j = 0; j < 4; ++j)
                text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
        }
        return text;
    }

    auto number(const std::string& text, std::uint64_t otherwise) -> std::uint64_t
    {
        return text.empty() ? otherwise : std::stoull(text);
    }

    auto respond(int status, const std::string& body) -> std::string
    {
        return makeResponse(status, { { "Content-Type", "application/json" } }, body);
    }

} // namespace

Store::Store(const std::string& address)
    : m_listener(address, [this](const std::shared_ptr<Socket>& socket) { serve(socket); })
{
    if (!m_listener.open())
        throw std::runtime_error("the store's address isn't free");
}

auto Store::put(const std::string& table, const std::string& key, const std::string& value) -> void
{
    const std::lock_guard lock(m_mutex);
    m_tables[table][key] = { encodeBase64(value), ++m_version, false };
    m_changed.notify_all();
}

auto Store::rows(const std::string& table) -> std::size_t
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& entry : m_tables[table])
        count += entry.second.isRemoved ? 0 : 1;
    return count;
}

auto Store::serve(const std::shared_ptr<Socket>& socket) -> void
{
    constexpr int idleMs = 60000;
    constexpr std::chrono::milliseconds answerTime { 4 }; // as on the sheet of the site
    while (const auto request = socket->readMessage(idleMs)) {
        std::this_thread::sleep_for(answerTime);
        const auto target = request->word(1);
        std::string response;
        if (target.starts_with("/coriandergate/rows-get"))
            response = read(target);
        else if (target.starts_with("/coriandergate/rows-feed"))
            response = feed(target);
        else if (target.starts_with("/coriandergate/rows-tx"))
            response = transact(*request);
        else
            response = respond(404, "{}");
        if (!socket->write(response))
            return;
    }
}

auto Store::describe(const std::string& table, const std::string& key, const Row& row) -> std::string
{
    json value { { "table_name", table }, { "part", "" }, { "key", key }, { "row_version", row.version } };
    if (row.isRemoved)
        value["tombstone"] = true;
    else
        value["value"] = row.value;
    return value.dump();
}

auto Store::envelope(const std::string& rows, bool hasMore) const -> std::string
{
    const auto now
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch());
    return R"({"rows":[)" + rows + R"(],"has_more":)" + (hasMore ? "true" : "false") + R"(,"row_version":)"
        + std::to_string(m_version) + R"(,"now":")" + std::to_string(now.count()) + R"(ms"})";
}

auto Store::read(const std::string& target) -> std::string
{
    const std::lock_guard lock(m_mutex);
    const auto table = queryValue(target, "table_name");
    const auto from = queryValue(target, "from");
    const auto to = queryValue(target, "to");
    const auto limit = number(queryValue(target, "limit"), 500);
    std::string rows;
    std::uint64_t count = 0;
    for (const auto& [key, row] : m_tables[table]) {
        if (row.isRemoved || key < from || (!to.empty() && key >= to))
            continue;
        if (++count > limit)
            return respond(200, envelope(rows, true));
        rows += (rows.empty() ? "" : ",") + describe(table, key, row);
    }
    return respond(200, envelope(rows, false));
}

auto Store::feed(const std::string& target) -> std::string
{
    const auto table = queryValue(target, "table_name");
    const auto after = number(queryValue(target, "after"), 0);
    const auto end = std::chrono::steady_clock::now()
        + std::chrono::milliseconds(std::min<std::uint64_t>(30000, number(queryValue(target, "wait_ms"), 0)));
    std::unique_lock lock(m_mutex);
    while (true) {
        std::map<std::uint64_t, std::string> changes;
        for (const auto& [key, row] : m_tables[table]) {
            if (row.version > after)
                changes[row.version] = describe(table, key, row);
        }
        std::string rows;
        for (const auto& entry : changes)
            rows += (rows.empty() ? "" : ",") + entry.second;
        if (!rows.empty() || m_changed.wait_until(lock, end) == std::cv_status::timeout)
            return respond(200, envelope(rows, false));
    }
}

auto Store::transact(const Message& request) -> std::string
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return respond(400, "{}");
    const std::lock_guard lock(m_mutex);
    bool holds = true;
    std::string current;
    for (const auto& expected : body.value("expect", json::array())) {
        const auto table = expected.at("table_name").get<std::string>();
        const auto key = expected.at("key").get<std::string>();
        const auto found = m_tables[table].find(key);
        const bool exists = found != m_tables[table].end() && !found->second.isRemoved;
        holds = holds && (exists ? found->second.version : 0) == expected.at("row_version").get<std::uint64_t>();
        if (exists)
            current += (current.empty() ? "" : ",") + describe(table, key, found->second);
    }
    if (!holds)
        return respond(412, envelope(current, false));
    for (const auto* list : { "write", "remove" }) {
        for (const auto& row : body.value(list, json::array())) {
            if (row.at("table_name") == "op" || row.at("table_name") == "servers")
                return respond(403, "{}");
        }
    }
    ++m_version;
    for (const auto& row : body.value("write", json::array()))
        m_tables[row.at("table_name").get<std::string>()][row.at("key").get<std::string>()]
            = { row.at("value").get<std::string>(), m_version, false };
    for (const auto& row : body.value("remove", json::array()))
        m_tables[row.at("table_name").get<std::string>()][row.at("key").get<std::string>()] = { "", m_version, true };
    m_changed.notify_all();
    return respond(200, envelope("", false));
}

} // namespace review
