// Whether an answer on one table also proves that another one hasn't changed.
//
// Versions are counted over the whole store, one a transaction. When every version that is newer than what a table was
// told up to is a change of the answer's own rows, the other table is as fresh as the answer.
//
//   if (provesUnchanged(follower.after(), answer))
//       follower.skipTo(answer.newestVersion);
#pragma once

#include "fleet/StoreClient.h"

#include <cstdint>
#include <set>

namespace coriandergate::fleet {

// provesUnchanged() is for a table whose changes up to the version `told` are known. False when it can't be told: a row
// that changed twice shows its last version only. Safe from any thread.
[[nodiscard]] inline auto provesUnchanged(std::uint64_t told, const StoreResponse& answer) -> bool
{
    std::set<std::uint64_t> changes; // rows of one transaction share its version
    for (const auto& row : answer.rows) {
        if (row.version > told && row.version <= answer.newestVersion)
            changes.insert(row.version);
    }
    return told + changes.size() >= answer.newestVersion;
}

} // namespace coriandergate::fleet
