#include "fleet/TableCache.h"

#include "fleet/StoreVersion.h"

#include <algorithm>

namespace coriandergate::fleet {

// Rows that are missing from a snapshot were removed while no changes were received, and hosts that watch through this
// one must learn that.
auto TableCache::markMissingAsRemoved(const StoreResponse& snapshot) -> void
{
    for (auto& entry : m_rows) {
        const auto& key = entry.first;
        auto& row = entry.second;
        const bool isPresent = std::any_of(
            snapshot.rows.begin(), snapshot.rows.end(), [&key](const StoreRow& other) { return other.key == key; });
        if (!isPresent && !row.isRemoved)
            row = { key, "", snapshot.newestVersion, true };
    }
}

auto TableCache::update(const StoreResponse& response, bool isSnapshot) -> void
{
    const auto era = eraOf(response.newestVersion);
    if (era < eraOf(m_newestVersion))
        return;
    if (era > eraOf(m_newestVersion)) {
        // No removed row needs to be kept: a watch from an earlier era gets all rows. The restored store's clock may
        // have gone back too.
        m_rows.clear();
        m_storeTime = std::chrono::milliseconds { 0 };
    } else if (isSnapshot) {
        markMissingAsRemoved(response);
    }
    for (const auto& row : response.rows) {
        auto& known = m_rows[row.key];
        if (row.version >= known.version)
            known = row;
    }
    m_newestVersion = std::max(m_newestVersion, response.newestVersion);
    m_hasSnapshot = m_hasSnapshot || isSnapshot;
    // Only newer responses count. Otherwise two relays that watch through each other would confirm each other's old
    // rows without end.
    if (response.storeTime > m_storeTime)
        ++m_confirmations;
    m_storeTime = std::max(m_storeTime, response.storeTime);
}

auto TableCache::recordUnchanged(std::uint64_t version, std::chrono::milliseconds storeTime) -> void
{
    m_newestVersion = std::max(m_newestVersion, version);
    m_storeTime = std::max(m_storeTime, storeTime);
}

auto TableCache::replaceOutdated(StoreResponse& response, const IsOutdated& isOutdated) const -> void
{
    for (auto& row : response.rows) {
        const auto* known = find(row.key);
        if (known && !known->isRemoved && !row.isRemoved && known->value != row.value && isOutdated(row, *known))
            row.value = known->value;
    }
}

auto TableCache::find(const std::string& key) const -> const StoreRow*
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? nullptr : &found->second;
}

auto TableCache::hasChangesAfter(std::uint64_t version) const -> bool
{
    return std::any_of(
        m_rows.begin(), m_rows.end(), [version](const auto& entry) { return entry.second.version > version; });
}

auto TableCache::changesAfter(std::uint64_t version) const -> StoreResponse
{
    StoreResponse response { .newestVersion = m_newestVersion, .storeTime = m_storeTime };
    for (const auto& [key, row] : m_rows) {
        if (row.version > version)
            response.rows.push_back(row);
    }
    return response;
}

} // namespace coriandergate::fleet
