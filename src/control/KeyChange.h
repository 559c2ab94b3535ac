// Changes of single keys, which need no declaration.
//
//   const auto intended = withKeyIssued(base, "member-1", digestOfKey(key), reason);
#pragma once

#include "base/Error.h"

#include <optional>
#include <string>
#include <string_view>

namespace coriandergate::config {
struct Configuration;
}

namespace coriandergate::control {

// makeKey() is a new key of 256 random bits, in characters that are safe in a header. Safe from any thread.
[[nodiscard]] auto makeKey() -> std::string;

// withKeyIssued() is the next version of `base`, in which `account` also holds the key of `digest`. Fails when there is
// no such account or some account holds the key already. Safe from any thread.
[[nodiscard]] auto withKeyIssued(const config::Configuration& base, std::string_view account, std::string_view digest,
    Error& reason) -> std::optional<config::Configuration>;

// withKeyWithdrawn() is the next version of `base`, in which no account holds the key whose digest starts with
// `digestStart`. Fails unless exactly one key does. Safe from any thread.
[[nodiscard]] auto withKeyWithdrawn(const config::Configuration& base, std::string_view digestStart, Error& reason)
    -> std::optional<config::Configuration>;

} // namespace coriandergate::control
