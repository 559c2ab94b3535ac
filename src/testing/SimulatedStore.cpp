#include "testing/SimulatedStore.h"

#include "fleet/StoreVersion.h"

#include <algorithm>

namespace coriandergate::testing {

using fleet::StoreResponse;

auto SimulatedStore::put(const std::string& table, const std::string& key, const std::string& value) -> void
{
    ++m_content.version;
    m_content.tables[table][key] = { key, value, fleet::makeVersion(m_era, m_content.version), false };
}

auto SimulatedStore::row(const std::string& table, const std::string& key) const -> const fleet::StoreRow&
{
    return m_content.tables.at(table).at(key);
}

auto SimulatedStore::rowsAfter(const std::string& table, std::uint64_t after, std::chrono::milliseconds storeTime) const
    -> StoreResponse
{
    StoreResponse response;
    response.newestVersion = fleet::makeVersion(m_era, m_content.version);
    response.storeTime = storeTime;
    const auto rows = m_content.tables.find(table);
    if (rows == m_content.tables.end())
        return response;
    for (const auto& [key, row] : rows->second) {
        if (fleet::numberOf(row.version) > fleet::numberOf(after))
            response.rows.push_back(row);
    }
    return response;
}

auto SimulatedStore::hasGivenOut(std::uint64_t version) const -> bool
{
    return fleet::numberOf(version) <= m_content.version;
}

auto SimulatedStore::keepCopy() -> void { m_copy = m_content; }

auto SimulatedStore::restore() -> void
{
    ++m_era;
    m_content = m_copy;
    for (auto& [table, rows] : m_content.tables) {
        for (auto& [key, row] : rows)
            row.version = fleet::makeVersion(m_era, fleet::numberOf(row.version));
    }
}

auto SimulatedStore::tableBytes(const std::string& table, std::size_t rows) const -> std::size_t
{
    auto response = rowsAfter(table, 0, std::chrono::milliseconds { 0 });
    response.rows.resize(std::min(response.rows.size(), rows));
    return responseBytes(response);
}

auto SimulatedStore::responseBytes(const StoreResponse& response) -> std::size_t
{
    constexpr std::size_t rowOverhead = 85; // field names of a row in the store's JSON
    std::size_t bytes = s_responseOverhead;
    for (const auto& row : response.rows)
        bytes += rowOverhead + row.key.size() + row.value.size() * 4 / 3; // the value is base64
    return bytes;
}

} // namespace coriandergate::testing
