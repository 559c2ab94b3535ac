// When a host should ask the store for rows that it was not told of.
//
// An answer on one table tells the newest version of the whole store. Mostly a change of another table is on its way
// then, held back while changes follow each other. But the question for that table may hang at a relay that was cut
// off, and news that grows too old stops requests with keys.
//
//   if (isCatchUpDue(follower.after(), answer.newestVersion, proof.age(now)))
//       follower.catchUp();
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace coriandergate::fleet {

// Age of a table's news from which missing rows are asked for. With the time between two answers on the other table, at
// most 1.9 s, and the way to the store it stays below the 4.4 s at which news counts as too old.
inline constexpr std::chrono::milliseconds oldestUntoldNews { 1200 };

// isCatchUpDue() compares the version that was told, the newest one of the store, and the age of the table's news,
// nothing if there was none. Safe from any thread.
[[nodiscard]] inline auto isCatchUpDue(
    std::uint64_t told, std::uint64_t newest, std::optional<std::chrono::milliseconds> age) -> bool
{
    return told < newest && (!age || *age > oldestUntoldNews);
}

} // namespace coriandergate::fleet
