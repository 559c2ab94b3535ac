// The rows of one table of the store as a daemon knows them, to send them to other daemons.
//
// Removed rows stay, marked as removed, so that a watch gets every change after its version.
//
//   TableCache table;
//   table.update(response, true);
//   if (table.hasChangesAfter(17)) respond(table.changesAfter(17));
#pragma once

#include "fleet/StoreClient.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace coriandergate::fleet {

// TableCache is a value; not thread-safe.
class TableCache {
public:
    // update() adds the rows of `response`, which are all rows if `isSnapshot`. Responses of an earlier era of the
    // store are ignored. The first one of a later era must have all rows, and replaces those of the earlier one.
    auto update(const StoreResponse& response, bool isSnapshot) -> void;

    // recordUnchanged() records that the rows are also those of `version`, as of `storeTime`.
    auto recordUnchanged(std::uint64_t version, std::chrono::milliseconds storeTime) -> void;

    // IsOutdated tells whether the content of a received row is older than that of the known row with the same key.
    using IsOutdated = std::function<bool(const StoreRow& received, const StoreRow& known)>;

    // replaceOutdated() gives rows of `response` whose content is outdated the known content.
    auto replaceOutdated(StoreResponse& response, const IsOutdated& isOutdated) const -> void;

    // find() returns the row with that key, which may be marked as removed, or null.
    [[nodiscard]] auto find(const std::string& key) const -> const StoreRow*;

    [[nodiscard]] auto hasChangesAfter(std::uint64_t version) const -> bool;

    // changesAfter() returns the rows with a later version, the newest version and the store's time.
    [[nodiscard]] auto changesAfter(std::uint64_t version) const -> StoreResponse;

    [[nodiscard]] auto hasSnapshot() const -> bool { return m_hasSnapshot; }
    [[nodiscard]] auto newestVersion() const -> std::uint64_t { return m_newestVersion; }
    [[nodiscard]] auto storeTime() const -> std::chrono::milliseconds { return m_storeTime; }

    // confirmations() is the number of responses with a later storeTime than all before.
    [[nodiscard]] auto confirmations() const -> std::uint64_t { return m_confirmations; }

private:
    auto markMissingAsRemoved(const StoreResponse& snapshot) -> void;

    std::map<std::string, StoreRow> m_rows;
    std::uint64_t m_newestVersion = 0;
    std::chrono::milliseconds m_storeTime { 0 };
    std::uint64_t m_confirmations = 0;
    bool m_hasSnapshot = false;
};

} // namespace coriandergate::fleet
