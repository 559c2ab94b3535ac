// The row that marks a request as one that crashes the targets that execute it.
//
// The rows are in the table of the hosts, which every daemon watches anyway: all of them learn of such a request within
// a second, and after a restart with the list of hosts.
//
//   const auto key = crashRowKey("west", fingerprint);
//   if (const auto marked = parseCrashRowKey(key)) ...
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace coriandergate {
struct Error;
}

namespace coriandergate::fleet {

// crashRowKey() returns the key of the row that a host of `region` writes. It follows the keys of the region's hosts.
// Thread-safe.
[[nodiscard]] auto crashRowKey(std::string_view region, std::uint64_t fingerprint) -> std::string;

// parseCrashRowKey() returns the fingerprint in such a key, and nothing for the key of another row. Thread-safe.
[[nodiscard]] auto parseCrashRowKey(std::string_view key) -> std::optional<std::uint64_t>;

// encodeCrashRow() returns the value of the row: when the last crash was recorded, by the store's clock. Thread-safe.
[[nodiscard]] auto encodeCrashRow(std::chrono::milliseconds lastCrashAt) -> std::string;

// decodeCrashRow() parses such a value; nothing, with a reason that names the row, if it is malformed. Thread-safe.
[[nodiscard]] auto decodeCrashRow(std::string_view key, std::string_view bytes, Error& reason)
    -> std::optional<std::chrono::milliseconds>;

} // namespace coriandergate::fleet
