// Digests of client accounts' keys. A key itself is never stored, logged or forwarded.
//
//   const auto digest = digestOfKey(keyFromHeader);
//   if (areDigestsEqual(digest, stored)) ...
#pragma once

#include <string>
#include <string_view>

namespace coriandergate::config {

// digestOfKey() is the BLAKE2b-256 digest of `key` as 64 lower-case hexadecimal digits. Safe from any thread.
[[nodiscard]] auto digestOfKey(std::string_view key) -> std::string;

// areDigestsEqual() compares two digests in a time that depends on their length only. Safe from any thread.
[[nodiscard]] auto areDigestsEqual(std::string_view left, std::string_view right) -> bool;

} // namespace coriandergate::config
