// Decides when a host must request the missing changes of a table from the store.
//
// A response on one table contains the newest version of the whole store. A newer version usually means that a change
// of another table is about to arrive, delayed by the batching of changes. But the watch on that table may be stuck at
// a relay that lost its connection, and requests with API keys are rejected once the table's last response is too old.
//
//   if (isCatchUpDue(watcher.observedVersion(), response.newestVersion, freshness.age(now)))
//       watcher.catchUp();
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace coriandergate::fleet {

// Missing changes are requested when the table's last response is older than this. The check runs at each response on
// the other table, at most 1.9 s apart. With that interval and the time for the store's response, the table stays below
// its maximum age of 4.4 s.
inline constexpr std::chrono::milliseconds catchUpAge { 1200 };

// isCatchUpDue() tells whether the table is behind the store's newest version and its last response is too old. `age`
// is nothing if there has been no response. Thread-safe.
[[nodiscard]] inline auto isCatchUpDue(
    std::uint64_t observedVersion, std::uint64_t newestVersion, std::optional<std::chrono::milliseconds> age) -> bool
{
    return observedVersion < newestVersion && (!age || *age > catchUpAge);
}

} // namespace coriandergate::fleet
