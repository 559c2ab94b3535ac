// Decides whether a response on one table also proves that another table hasn't changed.
//
// All tables share one version counter, which increases by one with each transaction. If every version after the last
// known version of the other table belongs to a row in the response, the other table is as fresh as the response.
//
//   if (provesUnchanged(watcher.observedVersion(), response))
//       watcher.advanceTo(response.newestVersion);
#pragma once

#include "fleet/StoreClient.h"

#include <cstdint>
#include <set>

namespace coriandergate::fleet {

// provesUnchanged() returns whether `response`, on one table, proves that another table hasn't changed since
// `observedVersion`. It may return false for an unchanged table, because a row that changed twice has only its last
// version, and because removed rows don't count: a relay that missed a removal doesn't know its version and sends a
// later one, which may be that of a change of the other table. Thread-safe.
[[nodiscard]] inline auto provesUnchanged(std::uint64_t observedVersion, const StoreResponse& response) -> bool
{
    std::set<std::uint64_t> versions; // rows of one transaction share its version
    for (const auto& row : response.rows) {
        if (!row.isRemoved && row.version > observedVersion && row.version <= response.newestVersion)
            versions.insert(row.version);
    }
    return observedVersion + versions.size() >= response.newestVersion;
}

} // namespace coriandergate::fleet
